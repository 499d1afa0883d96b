package lease

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/store"
	"github.com/citrongate/citrongate/pkg/store/storetest"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// TestScripts guards against changes of the steps in which a lease is taken,
// renewed, lost and taken over; each script shows store, calls and orders.
func TestScripts(t *testing.T) {
	faults := map[string]storetest.Fault{"none": storetest.None, "outage": storetest.Outage, "lost-before": storetest.LostBefore,
		"lost-after": storetest.LostAfter, "late": storetest.Late, "stale": storetest.Stale}
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		f := newFleet(t, 2)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			i, fault, wait, upstream := 0, "none", "0s", engineIgnores
			d.MaybeScanArgs(t, "orderer", &i)
			d.MaybeScanArgs(t, "fault", &fault)
			d.MaybeScanArgs(t, "for", &wait)
			d.MaybeScanArgs(t, "upstream", &upstream)
			o := f.orderers[i]
			switch d.Cmd {
			case "order":
				f.submit(o, upstream)
			case "store":
				f.advance(o, 0, faults[fault])
				f.advance(o, 0, storetest.None)
			case "run-late":
				f.store.RunLate(0)
			case "pause":
				f.pass(t, wait, time.Hour)
			case "wait":
				f.pass(t, wait, time.Second)
			case "fenced":
				o.Fenced(upstream, o.sends[len(o.sends)-1].FencingNumber)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return f.status(upstream)
		})
	})
}

// pass lets time pass in steps.
func (f *fleet) pass(t *testing.T, text string, step time.Duration) {
	left, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	for left > 0 {
		now := min(left, step)
		f.now += now
		left -= now
		for _, o := range f.orderers {
			f.step(o)
		}
	}
}

func (f *fleet) status(upstream string) string {
	var out strings.Builder
	l := &pb.Lease{}
	_ = proto.Unmarshal(f.store.Current(leaseKey(upstream)).Value, l)
	fmt.Fprintf(&out, "store: holder=%d fencing=%d renewal=%d\n", l.Holder, l.FencingNumber, l.Renewal)
	for i, o := range f.orderers {
		for _, c := range o.network.Calls {
			fmt.Fprintf(&out, "orderer %d calls %s\n", i, map[store.OpKind]string{store.Get: "get", store.Create: "create", store.Update: "update"}[c.Call.Op.Kind])
		}
		for _, s := range o.sends {
			fmt.Fprintf(&out, "orderer %d sends order %d fencing=%d within %v\n", i, s.Order.ID, s.FencingNumber, max(0, s.SendBy-f.clock(o)))
		}
	}
	return out.String()
}
