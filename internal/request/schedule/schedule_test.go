package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEarliestDueFirst(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	items := []Item{{Job: "b", Due: at(20), Sent: at(3)}, {Job: "a", Index: 1, Due: at(10), Sent: at(1)}, {Job: "a", Due: at(10), Sent: at(2)}, {Job: "c", Due: at(20), Sent: at(4)}}
	Sort(items)
	order := ""
	for _, i := range items {
		order += i.Job
	}
	is.Equal(order, "aabc")
	is.Equal(items[0].Index, 0)
	yielding := SelectYielding(items, 3)
	is.Equal([]string{yielding[0].Job, yielding[1].Job, yielding[2].Job}, []string{"c", "b", "a"})
	is.Equal(yielding[2].Index, 0) // of one job, the item that was sent last
	is.Equal(len(SelectYielding(items[:1], 3)), 1)
}
