// Package logs builds the logger of a process: JSON lines, one event name per
// kind, and a limit on repeats of an event.
package logs

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// The limit on repeats: in each interval, the first lines of an event are
// written, and then one in every repeatShare.
const (
	repeatInterval = time.Second
	repeatFirst    = 5
	repeatShare    = 100
)

// New returns a logger that writes to the sink. The level is "debug", "info",
// "warn" or "error". Dropped is called for each line that the limit on repeats
// leaves out, such as Dropped.Add; it may be nil. Each line has the host's identifier.
func New(sink zapcore.WriteSyncer, level, host string, dropped func(), options ...zap.Option) (*zap.Logger, error) {
	return NewWithRepeats(sink, level, host, repeatFirst, dropped, options...)
}

// NewWithRepeats returns a logger like New that writes so many lines of an event
// in each second before it leaves lines out.
func NewWithRepeats(
	sink zapcore.WriteSyncer, level, host string, first int, dropped func(), options ...zap.Option,
) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey: "time", LevelKey: "level", MessageKey: "event",
		EncodeTime: zapcore.RFC3339NanoTimeEncoder, EncodeLevel: zapcore.LowercaseLevelEncoder, EncodeDuration: zapcore.StringDurationEncoder,
	})
	core := zapcore.NewSamplerWithOptions(zapcore.NewCore(encoder, sink, parsed), repeatInterval, first, repeatShare,
		zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
			if decision&zapcore.LogDropped > 0 && dropped != nil {
				dropped()
			}
		}))
	return zap.New(core, options...).With(zap.String("host", host)), nil
}

// Cause returns the field of an error, without its stack.
func Cause(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return Text("error", err.Error())
}

// textLimit bounds the bytes of a text from outside in a line.
const textLimit = 500

// Text is the field of a text that may come from outside, cut to a length that keeps lines
// bounded.
func Text(key, text string) zap.Field {
	if len(text) > textLimit {
		text = strings.ToValidUTF8(text[:textLimit], "") + "..."
	}
	return zap.String(key, text)
}
