package logs

// The events of a host: each is the message of its log lines. Values go into
// fields, so that the limit on repeats sees one event.
const (
	HostStarted         = "host_started"
	HostStopping        = "host_stopping"
	HostStopped         = "host_stopped"
	HostStopInterrupted = "host_stop_interrupted"
	ListenerOpened      = "listener_opened"
	ListenerFailed      = "listener_failed"

	PermitExpired  = "permit_expired"
	PermitRegained = "permit_regained"

	RevisionAdopted   = "revision_adopted"
	ObjectUndecodable = "object_undecodable"

	ChangeApplied    = "change_applied"
	ChangeNotApplied = "change_not_applied"
	ChangeConflict   = "change_conflict"
	ChangeUnknown    = "change_unknown"

	PlatformUnreachable = "platform_unreachable"
	PlatformReachable   = "platform_reachable"
	WatchReplaced       = "watch_replaced"

	PeerJoined      = "peer_joined"
	PeerSuspect     = "peer_suspect"
	PeerDead        = "peer_dead"
	PeerLeaving     = "peer_leaving"
	PeerUnreachable = "peer_unreachable"

	OwnershipTaken    = "ownership_taken"
	OwnershipReleased = "ownership_released"
	HandoverSent      = "handover_sent"
	HandoverReceived  = "handover_received"
	HandoverFailed    = "handover_failed"

	TargetEjected  = "target_ejected"
	TargetReturned = "target_returned"

	NodeStarted           = "node_started"
	NodeReady             = "node_ready"
	NodeNotReady          = "node_not_ready"
	NodeStopping          = "node_stopping"
	NodeStopped           = "node_stopped"
	SettingsReloaded      = "settings_reloaded"
	SettingsRefused       = "settings_refused"
	SettingsEntryLeftOut  = "settings_entry_left_out"
	StoreUnreachable      = "store_unreachable"
	StoreReachable        = "store_reachable"
	StoreAsked            = "store_asked"
	StoreRestored         = "store_restored"
	AnswerLeftOut         = "answer_left_out"
	ObjectMalformed       = "object_malformed"
	ConfigurationAdopted  = "configuration_adopted"
	TargetsChanged        = "targets_changed"
	PeersChanged          = "peers_changed"
	ChangesNotFetched     = "changes_not_fetched"
	FetchRedirected       = "fetch_redirected"
	TargetSpeeds          = "target_speeds"
	TargetSilent          = "target_silent"
	TargetAnswers         = "target_answers"
	TargetDead            = "target_dead"
	TargetAsked           = "target_asked"
	TargetSuspected       = "target_suspected"
	DataCentreSilent      = "data_centre_silent"
	DataCentreAnswers     = "data_centre_answers"
	TargetListed          = "target_listed"
	TargetRemoved         = "target_removed"
	TargetLeftOut         = "target_left_out"
	TargetUnreadable      = "target_unreadable"
	TargetEntryHolds      = "target_entry_holds"
	FlowPlaced            = "flow_placed"
	FlowPlacedAgain       = "flow_placed_again"
	FlowAdopted           = "flow_adopted"
	FlowContested         = "flow_contested"
	FlowRefused           = "flow_refused"
	PacketDropped         = "packet_dropped"
	PacketNotSent         = "packet_not_sent"
	GossipMessageNotSent  = "gossip_message_not_sent"
	GossipMessageRefused  = "gossip_message_refused"
	StatusNotSent         = "status_not_sent"
	ListenerAnswersFailed = "listener_answers_failed"
	SocketFailed          = "socket_failed"
	UnexpectedError       = "unexpected_error"
	ProcessPaused         = "process_paused"
	EvacuationChanged     = "evacuation_changed"
	WarmUpClaimed         = "warm_up_claimed"
	WarmUpNotClaimed      = "warm_up_not_claimed"
	WarmUpReleased        = "warm_up_released"
	WarmUpClaimsRemoved   = "warm_up_claims_removed"
)

// Events returns every event name.
func Events() []string {
	return []string{
		HostStarted, HostStopping, HostStopped, HostStopInterrupted, ListenerOpened, ListenerFailed,
		PermitExpired, PermitRegained,
		RevisionAdopted, ObjectUndecodable,
		ChangeApplied, ChangeNotApplied, ChangeConflict, ChangeUnknown,
		PlatformUnreachable, PlatformReachable, WatchReplaced,
		PeerJoined, PeerSuspect, PeerDead, PeerLeaving, PeerUnreachable,
		OwnershipTaken, OwnershipReleased, HandoverSent, HandoverReceived, HandoverFailed,
		TargetEjected, TargetReturned,
		NodeStarted, NodeReady, NodeNotReady, NodeStopping, NodeStopped, SettingsReloaded, SettingsRefused, SettingsEntryLeftOut,
		StoreUnreachable, StoreReachable, StoreAsked, StoreRestored, AnswerLeftOut, ObjectMalformed, ConfigurationAdopted, TargetsChanged, PeersChanged, ChangesNotFetched, FetchRedirected,
		GossipMessageNotSent, GossipMessageRefused, StatusNotSent, ListenerAnswersFailed, SocketFailed, UnexpectedError, ProcessPaused, EvacuationChanged,
		TargetSpeeds, TargetSilent, TargetAnswers, TargetDead, TargetAsked, TargetSuspected, DataCentreSilent, DataCentreAnswers, TargetListed, TargetRemoved, TargetLeftOut, TargetUnreadable, TargetEntryHolds, FlowPlaced, FlowPlacedAgain, FlowAdopted, FlowContested, FlowRefused, PacketDropped, PacketNotSent,
		WarmUpClaimed, WarmUpNotClaimed, WarmUpReleased, WarmUpClaimsRemoved,
	}
}
