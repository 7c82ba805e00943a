package hosted

import (
	"net/netip"
	"testing"
)

// FuzzDecodeNode: decodeNode rejects any registration without a usable address, data centre
// and start time.
func FuzzDecodeNode(f *testing.F) {
	for _, seed := range []string{`{"Boot":1,"Address":"10.0.0.1:1","DataCentre":"a"}`, `{}`, `[]`, `null`, "\xff", `{"Boot":"1"}`, `{"Boot":1,"Address":"x"}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeNode(data)
		if err != nil {
			return
		}
		if _, err := netip.ParseAddrPort(r.Address); err != nil || r.DataCentre == "" || r.Boot <= 0 {
			t.Fatalf("%q is decoded as %+v", data, r)
		}
	})
}
