package quarantine

import (
	"testing"

	"github.com/matryer/is"

	"github.com/marblepond/marblepond/internal/request/fingerprint"
)

// workAndItem returns the fingerprints of the same work online and as an item.
func workAndItem(body string) (online, item fingerprint.ID) {
	return (&fingerprint.Work{Body: []byte(body)}).ID(), (&fingerprint.Work{Body: []byte(body), Item: true}).ID()
}

// TestItemsAreNeverTheCause guards against items that are refused because targets ended while they
// ran: no number of crashes, alone or beside others, makes one the cause.
func TestItemsAreNeverTheCause(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	online, item := workAndItem("a")
	for i := range 20 {
		c.crash(500*i, []fingerprint.ID{item})
	}
	is.True(!c.refuses(30_000, item))
	is.True(!c.refuses(30_000, online)) // the same work
	is.True(!c.table.Suspected(at(30_000), item))
	is.Equal(len(c.table.Verdicts(at(30_000))), 0)
}

// TestRequestBesideItemsIsFound guards against a request that crashes targets and is not refused,
// because items that were sent from one to the next of them could be the cause as well. Refused is
// the request, not an item with the same content.
func TestRequestBesideItemsIsFound(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	online, sameAsItem := workAndItem("a")
	_, beside := workAndItem("b")
	for i := range 3 {
		c.crash(500*i, []fingerprint.ID{online}, []fingerprint.ID{beside}, []fingerprint.ID{sameAsItem})
	}
	is.True(c.refuses(2000, online))
	is.True(!c.refuses(2000, sameAsItem))
	is.True(!c.refuses(2000, beside))
}

// TestItemsExplainNoCrash guards against a request that is refused because targets were killed
// together: items that were at earlier crashes do not show that their targets ended for themselves.
func TestItemsExplainNoCrash(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	online, _ := workAndItem("a")
	var items []fingerprint.ID
	for _, body := range []string{"b", "c", "d", "e", "f", "g"} {
		_, item := workAndItem(body)
		items = append(items, item)
	}
	for i, item := range items { // each was at the crash of one target before
		c.crash(500*i, []fingerprint.ID{item})
	}
	for kill := range 3 { // of enough targets for a kill
		c.crash(5000+2000*kill, []fingerprint.ID{online})
		for _, item := range items[:fleetSize/3] {
			c.crash(5000+2000*kill+1, []fingerprint.ID{item})
		}
	}
	is.True(!c.refuses(15_000, online))
}

// TestAnswerToAnItemClearsItsWork guards against online work that stays refused although an item
// with the same content was answered since.
func TestAnswerToAnItemClearsItsWork(t *testing.T) {
	is := is.New(t)
	c := newCourse()
	online, _ := workAndItem("a")
	for i := range 3 {
		c.crash(500*i, []fingerprint.ID{online})
	}
	is.True(c.refuses(2000, online))
	answered := fingerprint.Work{Body: []byte("a"), Item: true}
	c.answer(2100, "s v1", true, answered.AnsweredIDs()...)
	is.True(!c.refuses(2200, online))
}
