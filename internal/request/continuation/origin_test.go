package continuation

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestAnswerNeverChangesItsVersion guards against an answer that holds events of two versions:
// over any course of events, targets are only allowed at the version of the first one.
func TestAnswerNeverChangesItsVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Origin
		var wrote []Version
		for range rapid.IntRange(1, 20).Draw(t, "attempts") {
			v := Version(rapid.SampledFrom([]string{"", "v1", "v1.1", "v2"}).Draw(t, "version"))
			if !o.Allows(v) {
				continue
			}
			for range rapid.IntRange(0, 3).Draw(t, "events") {
				o = o.After(v)
				wrote = append(wrote, v)
			}
		}
		for _, v := range wrote {
			if v != wrote[0] {
				t.Fatalf("events of %q and %q", wrote[0], v)
			}
		}
		if o.Begun() != (len(wrote) > 0) {
			t.Fatalf("begun: %v after %d events", o.Begun(), len(wrote))
		}
	})
}

// TestUnknownVersionIsNotGuessed guards against an answer of an unknown version that is
// continued at any target.
func TestUnknownVersionIsNotGuessed(t *testing.T) {
	is := is.New(t)
	o := BegunAnywhere()
	is.True(o.Begun())
	is.True(!o.Allows("") && !o.Allows("v1"))
	is.Equal(o.After("v1"), o)
	is.Equal(Next(o, Busy), GiveUp)
	is.Equal(Next(BegunAt("v1"), Gone), GiveUp)
	is.Equal(Next(BegunAt("v1"), Busy), Wait)
}
