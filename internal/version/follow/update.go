package follow

import "time"

// Update describes changes of a kind that this node received, for logs and metrics.
type Update struct {
	Kind     string
	Source   Source
	Peer     string        // node or address that sent them; empty: the store
	Changes  int           // received
	New      int           // of these, new to the cache
	Since    int64         // changes up to this revision were not asked for
	Revision int64         // the copy is complete up to it if it was so up to Since
	Listing  bool          // all existing objects were received
	More     bool          // the answer was cut: more changes follow
	Bytes    int           // received from the store
	Took     time.Duration // from the query to the answer; 0: nothing was asked
	Age      time.Duration // of the copy before
}

// UpdateLog receives each update; nil: none is reported. It must not block.
type UpdateLog func(Update)

func (l UpdateLog) report(u Update) {
	if l != nil && (u.Changes > 0 || u.More || u.Listing) {
		l(u)
	}
}
