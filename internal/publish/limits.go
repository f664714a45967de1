package publish

import "time"

// Limits of a workspace and of the values in its configuration.
const (
	// MaxEntryBytes limits the payload of one record, in bytes.
	MaxEntryBytes = 1 << 20
	// MaxClientEntryBytes replaces MaxEntryBytes for entries with client workspaces:
	// 10,000 workspaces with three keys each and 2,600 routes take 1.7 MB. It stays
	// below the 4 MiB of the largest message between daemons.
	MaxClientEntryBytes = 3 << 20
	// MaxWorkspaces limits the workspaces of one log.
	MaxWorkspaces = 1000
	// MaxSourceBytes limits the templates and parameters of a workspace, in bytes.
	MaxSourceBytes = 1 << 20
	// MaxRenderedBytes limits the rendered templates of a workspace, in bytes.
	MaxRenderedBytes = 1 << 20
	// MaxTemplates limits the templates of a workspace.
	MaxTemplates = 100
	// MaxParameters limits the parameters of a workspace.
	MaxParameters = 1000
	// MaxServices limits the services of a workspace.
	MaxServices = 100
	// MaxRoutes limits the routes of a workspace.
	MaxRoutes = 1000
	// MaxTokens limits the tokens of a workspace.
	MaxTokens = 100
	// MaxSlots limits the slots of one target.
	MaxSlots = 10_000
	// MaxQueue limits the requests that wait for a slot of one target.
	MaxQueue = 100_000
	// MaxConnections limits the connections of a daemon to its target.
	MaxConnections = 10_000
	// MaxQueueTimeout limits the wait for a slot.
	MaxQueueTimeout = time.Minute
	// MaxSlowStart limits the time in which a cold target reaches its full share.
	MaxSlowStart = 10 * time.Minute
	// MinDeadline and MaxDeadline limit the deadline of a route.
	MinDeadline = time.Millisecond
	MaxDeadline = 10 * time.Minute
	// MaxRetries limits the further attempts of one call.
	MaxRetries = 5
	// MaxRefusals limits the further hosts tried for one call after refusals.
	MaxRefusals = 10
	// MaxPriority limits the priority number of a route.
	MaxPriority = 1000
	// MaxShares limits the shares of one route.
	MaxShares = 16
	// MaxWeight limits the weight of a share.
	MaxWeight = 1_000_000
	// MaxNameBytes limits the names of workspaces, services, routes, templates and
	// parameters, in bytes.
	MaxNameBytes = 63
	// MaxIDBytes limits a publication id, in bytes.
	MaxIDBytes = 128
	// MaxTextBytes limits the author and the reason of a publication, in bytes.
	MaxTextBytes = 1024
	// MaxRetainedVerdicts limits the verdicts that the state machine retains, and with
	// them the publication ids that it recognizes as duplicates.
	MaxRetainedVerdicts = 1000
	// maxProblems limits the problems of one verdict.
	maxProblems = 16
	// maxReasonBytes limits the text of one problem, in bytes.
	maxReasonBytes = 512
)

// Defaults of settings that a document may omit.
const (
	DefaultConnections  = 100
	DefaultQueueTimeout = time.Second
	DefaultDeadline     = 5 * time.Second
)
