package continuation

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBeginAnewAfterAsLongAsItRan guards against text that is thrown away although its version
// soon has room, and against an answer that waits for its version longer than it would take to
// generate what it holds again.
func TestBeginAnewAfterAsLongAsItRan(t *testing.T) {
	is := is.New(t)
	v1 := BegunAt("v1")
	is.True(!ShouldBeginAnew(v1, Busy, 900*time.Millisecond, time.Second))
	is.True(ShouldBeginAnew(v1, Busy, time.Second, time.Second))
	is.True(!ShouldBeginAnew(v1, Unusable, maxUnusableWait-time.Millisecond, time.Minute))
	is.True(ShouldBeginAnew(v1, Unusable, maxUnusableWait, time.Minute))
	is.True(ShouldBeginAnew(v1, Unusable, time.Second, time.Second))
	is.True(!ShouldBeginAnew(v1, Busy, maxUnusableWait, time.Minute))
	is.True(ShouldBeginAnew(v1, Gone, 0, time.Minute))
	is.True(ShouldBeginAnew(BegunAnywhere(), Busy, 0, time.Minute))
	is.True(!ShouldBeginAnew(Origin{}, Busy, time.Hour, 0)) // it holds nothing
}
