package schedule

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEarliestDueFirst(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	items := []Item{{"b", 0, at(20), at(3)}, {"a", 1, at(10), at(1)}, {"a", 0, at(10), at(2)}, {"c", 0, at(20), at(4)}}
	Sort(items)
	order := ""
	for _, i := range items {
		order += i.Job
	}
	is.Equal(order, "aabc")
	is.Equal(items[0].Index, 0)
	given := Yielding(items, 3)
	is.Equal([]string{given[0].Job, given[1].Job, given[2].Job}, []string{"c", "b", "a"})
	is.Equal(given[2].Index, 0) // of a job the one that was sent last
	is.Equal(len(Yielding(items[:1], 3)), 1)
}
