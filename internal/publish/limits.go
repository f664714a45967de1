package publish

import "time"

// Limits of one workspace and of what its configuration may ask for.
const (
	// MaxEntryBytes bounds the payload of one record, in bytes.
	MaxEntryBytes = 1 << 20
	// MaxWorkspaces bounds the workspaces of one log.
	MaxWorkspaces = 1000
	// MaxSourceBytes bounds the templates and parameters of a workspace, in bytes.
	MaxSourceBytes = 1 << 20
	// MaxRenderedBytes bounds what the templates of a workspace render to, in bytes.
	MaxRenderedBytes = 1 << 20
	// MaxTemplates bounds the templates of a workspace.
	MaxTemplates = 100
	// MaxParameters bounds the parameters of a workspace.
	MaxParameters = 1000
	// MaxServices bounds the services of a workspace.
	MaxServices = 100
	// MaxRoutes bounds the routes of a workspace.
	MaxRoutes = 1000
	// MaxTokens bounds the tokens of a workspace.
	MaxTokens = 100
	// MaxSlots bounds the slots of one target.
	MaxSlots = 10_000
	// MaxQueue bounds the requests that wait at one target.
	MaxQueue = 100_000
	// MaxConnections bounds the connections of a daemon to its target.
	MaxConnections = 10_000
	// MaxQueueTimeout bounds the wait for a slot.
	MaxQueueTimeout = time.Minute
	// MaxSlowStart bounds the time that a cold target takes to its full share.
	MaxSlowStart = 10 * time.Minute
	// MinDeadline and MaxDeadline bound the deadline of a route.
	MinDeadline = time.Millisecond
	MaxDeadline = 10 * time.Minute
	// MaxRetries bounds the further attempts of one call.
	MaxRetries = 5
	// MaxRefusals bounds the further hosts of one call after refusals.
	MaxRefusals = 10
	// MaxPriority bounds the rank of a route.
	MaxPriority = 1000
	// MaxShares bounds the services of one route.
	MaxShares = 16
	// MaxWeight bounds the weight of a share.
	MaxWeight = 1_000_000
	// MaxNameBytes bounds the names of workspaces, services, routes, templates
	// and parameters, in bytes.
	MaxNameBytes = 63
	// MaxIDBytes bounds a publication id, in bytes.
	MaxIDBytes = 128
	// MaxTextBytes bounds the author and the reason of a publication, in bytes.
	MaxTextBytes = 1024
	// MaxRetainedVerdicts is how many verdicts the fold keeps, and so how many
	// publication ids it remembers.
	MaxRetainedVerdicts = 1000
	// maxProblems bounds the problems of one verdict.
	maxProblems = 16
	// maxReasonBytes bounds the text of one problem, in bytes.
	maxReasonBytes = 512
)

// Values of settings that a document may leave out.
const (
	DefaultConnections  = 100
	DefaultQueueTimeout = time.Second
	DefaultDeadline     = 5 * time.Second
)
