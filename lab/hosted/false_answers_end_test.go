package hosted

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFalseAnswersEndWithTheFault guards against a stand-in that is still faulty after its fault has
// ended: false answers that were due on idle connections came with the next requests there, so that
// probes failed long after what the soak took for the last fault.
func TestFalseAnswersEndWithTheFault(t *testing.T) {
	for _, form := range FalseAnswers {
		if form == CopyAtOnce || form == CopyWhileIdle { // they await no request
			continue
		}
		t.Run(form.String(), func(t *testing.T) {
			is := is.New(t)
			r := NewRunner("i-0", Service, 8, 2, time.Millisecond)
			defer r.Close()
			r.SetFalseAnswers(func() FalseAnswer { return form })
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			send := func(id string) (status int, answered string) {
				req, err := http.NewRequest(http.MethodPost, "http://"+r.Address()+RepeatPath, nil)
				is.NoErr(err)
				req.Header.Set("X-Marblepond-Request-Id", id)
				resp, err := client.Do(req)
				is.NoErr(err)
				defer resp.Body.Close()
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				return resp.StatusCode, resp.Header.Get("X-Marblepond-Request-Id")
			}
			send("first")
			time.Sleep(50 * time.Millisecond) // until the connection is idle at the runner
			r.SetFalseAnswers(nil)
			status, id := send("second")
			is.Equal(status, http.StatusOK)
			is.Equal(id, "second")
			is.Equal(r.FalseAnswerCount(), 0)
		})
	}
}
