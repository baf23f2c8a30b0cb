package commands

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"oriolevalve/pkg/operatorpb"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
)

// connectTimeout limits the time to connect to one host. attemptTimeout limits
// one call; it exceeds the 5 s after which a host gives up on the platform.
const (
	connectTimeout = 3 * time.Second
	attemptTimeout = 8 * time.Second
)

// remote reaches the fleet through the first host that answers.
type remote struct {
	hosts       []string
	credentials credentials.TransportCredentials
	output      string
	timeout     time.Duration
}

func remoteFlags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.StringSliceFlag{
			Name: "host", Usage: "operator `ADDRESS` of a host; repeat it to name others to try",
			Value: []string{"127.0.0.11:7102"}, Sources: cli.EnvVars("ORIOLEVALVE_HOST"),
		},
		&cli.StringFlag{Name: "certificate", Usage: "PEM `FILE` with the operator's certificate", Sources: cli.EnvVars("ORIOLEVALVE_CERTIFICATE")},
		&cli.StringFlag{Name: "private-key", Usage: "PEM `FILE` with the private key of the certificate", Sources: cli.EnvVars("ORIOLEVALVE_PRIVATE_KEY")},
		&cli.StringFlag{Name: "certificate-authority", Usage: "PEM `FILE` with the authority of the hosts' certificates; without it, the connection is plain text", Sources: cli.EnvVars("ORIOLEVALVE_CERTIFICATE_AUTHORITY")},
		&cli.DurationFlag{Name: "timeout", Usage: "time limit for the whole command", Value: 30 * time.Second},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "output `FORMAT`: table or json", Value: "table"},
	)
}

func parseRemote(c *cli.Command) (*remote, error) {
	r := &remote{hosts: c.StringSlice("host"), output: c.String("output"), timeout: c.Duration("timeout")}
	if r.output != "table" && r.output != "json" {
		return nil, usageError("--output %q is neither table nor json", r.output)
	}
	if r.timeout <= 0 {
		return nil, usageError("--timeout must be above 0")
	}
	for _, address := range r.hosts {
		if _, port, err := net.SplitHostPort(address); err != nil || port == "" {
			return nil, usageError("--host %q is not an address with a port", address)
		}
	}
	var err error
	r.credentials, err = parseCredentials(c.String("certificate"), c.String("private-key"), c.String("certificate-authority"))
	return r, err
}

func parseCredentials(certificate, key, authority string) (credentials.TransportCredentials, error) {
	if authority == "" {
		if certificate != "" || key != "" {
			return nil, usageError("--certificate and --private-key need --certificate-authority")
		}
		return insecure.NewCredentials(), nil
	}
	text, err := os.ReadFile(authority)
	if err != nil {
		return nil, failure(errors.Wrap(err, "reading the certificate authority"))
	}
	config := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool()}
	if !config.RootCAs.AppendCertsFromPEM(text) {
		return nil, failure(errors.Newf("%s holds no PEM certificate", authority))
	}
	if certificate != "" || key != "" {
		pair, err := tls.LoadX509KeyPair(certificate, key)
		if err != nil {
			return nil, failure(errors.Wrap(err, "loading the certificate and private key"))
		}
		config.Certificates = []tls.Certificate{pair}
	}
	return credentials.NewTLS(config), nil
}

// call is one gRPC call on a connected host.
type call func(ctx context.Context, client operatorpb.OperatorClient) error

// attempts says what is known after the hosts were tried.
type attempts struct {
	// err is nil if a host answered; settled is set if its error is an answer.
	err     error
	settled bool
	// unanswered is set if a host got the call and did not answer. A change may
	// have taken effect, or may still do so.
	unanswered bool
}

// try calls the hosts in order until one answers.
func (r *remote) try(ctx context.Context, f call) attempts {
	var a attempts
	var failures []string
	for _, address := range r.hosts {
		sent, err := r.tryHost(ctx, address, f)
		if err == nil || isAnswer(err) {
			a.err, a.settled = err, true
			return a
		}
		a.unanswered = a.unanswered || sent
		failures = append(failures, address+": "+status.Convert(err).Message())
		a.err = errors.New(strings.Join(failures, "; "))
	}
	return a
}

// read is try for calls that change nothing.
func (r *remote) read(ctx context.Context, f call) error {
	a := r.try(ctx, f)
	if a.err == nil {
		return nil
	}
	if a.settled {
		return failure(errors.New(status.Convert(a.err).Message()))
	}
	return failure(errors.Wrap(a.err, "no host answered"))
}

// tryHost reports whether the call was sent. It waits for the connection first,
// because only then is a failure known to be before the call.
func (r *remote) tryHost(ctx context.Context, address string, f call) (sent bool, err error) {
	causes := &connectionErrors{TransportCredentials: r.credentials, last: &lastError{}}
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(causes), grpc.WithContextDialer(causes.dial))
	if err != nil {
		return false, err
	}
	defer func() { _ = connection.Close() }()
	if err := connect(ctx, connection); err != nil {
		if cause := causes.last.get(); cause != nil {
			return false, errors.Newf("%v: %v", err, cause)
		}
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	return true, f(ctx, operatorpb.NewOperatorClient(connection))
}

func connect(ctx context.Context, connection *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	connection.Connect()
	for {
		state := connection.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return errors.New("cannot connect")
		}
		if !connection.WaitForStateChange(ctx, state) {
			return errors.New("no connection in time")
		}
	}
}

// connectionErrors keeps why a connection failed. gRPC tells it only to calls,
// and no call is made before the connection is there.
type connectionErrors struct {
	credentials.TransportCredentials
	last *lastError
}

type lastError struct {
	mutex sync.Mutex
	err   error
}

func (l *lastError) get() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.err
}

func (l *lastError) set(err error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.err = err
}

func (c *connectionErrors) dial(ctx context.Context, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		c.last.set(err)
	}
	return connection, err
}

// ClientHandshake implements credentials.TransportCredentials.
func (c *connectionErrors) ClientHandshake(ctx context.Context, authority string, raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	connection, info, err := c.TransportCredentials.ClientHandshake(ctx, authority, raw)
	if err != nil {
		c.last.set(err)
	}
	return connection, info, err
}

// Clone implements credentials.TransportCredentials.
func (c *connectionErrors) Clone() credentials.TransportCredentials {
	return &connectionErrors{TransportCredentials: c.TransportCredentials.Clone(), last: c.last}
}

// isAnswer tells an error that the operator server returns after it decided
// from one that leaves the outcome open.
func isAnswer(err error) bool {
	switch status.Code(err) {
	case codes.InvalidArgument, codes.NotFound, codes.AlreadyExists, codes.FailedPrecondition,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented, codes.OutOfRange:
		return true
	default:
		return false
	}
}
