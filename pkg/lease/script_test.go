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

// TestScripts guards against unintended changes in the steps by which a lease is
// taken, renewed, lost and taken over. Each script shows the lease in the store, the
// store calls and the orders.
func TestScripts(t *testing.T) {
	faults := map[string]storetest.Fault{"none": storetest.None, "outage": storetest.Outage, "lost-before": storetest.LostBefore,
		"lost-after": storetest.LostAfter, "late": storetest.Late, "stale": storetest.Stale}
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		f := newCluster(t, 2)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			i, fault, wait, upstream := 0, "none", "0s", engineIgnoresFencing
			d.MaybeScanArgs(t, "orderer", &i)
			d.MaybeScanArgs(t, "fault", &fault)
			d.MaybeScanArgs(t, "for", &wait)
			d.MaybeScanArgs(t, "upstream", &upstream)
			o := f.instances[i]
			switch d.Cmd {
			case "order":
				f.submit(o, upstream)
			case "store":
				f.advanceCall(o, 0, faults[fault])
				f.advanceCall(o, 0, storetest.None)
			case "run-late":
				f.store.RunLate(0)
			case "pause":
				f.advanceTime(t, wait, time.Hour)
			case "wait":
				f.advanceTime(t, wait, time.Second)
			case "fenced":
				o.OnFencingRefused(upstream, o.sends[len(o.sends)-1].FencingNumber)
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			return f.status(upstream)
		})
	})
}

// advanceTime advances the clock by a duration and steps all instances after each
// step.
func (f *cluster) advanceTime(t *testing.T, text string, step time.Duration) {
	remaining, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	for remaining > 0 {
		now := min(remaining, step)
		f.now += now
		remaining -= now
		for _, o := range f.instances {
			f.step(o)
		}
	}
}

func (f *cluster) status(upstream string) string {
	var out strings.Builder
	l := &pb.Lease{}
	_ = proto.Unmarshal(f.store.Current(leaseKey(upstream)).Value, l)
	fmt.Fprintf(&out, "store: holder=%d fencing=%d renewal=%d\n", l.Holder, l.FencingNumber, l.Renewal)
	for i, o := range f.instances {
		for _, c := range o.network.Calls {
			fmt.Fprintf(&out, "orderer %d calls %s\n", i, map[store.OpKind]string{store.Get: "get", store.Create: "create", store.Update: "update"}[c.Call.Op.Kind])
		}
		for _, s := range o.sends {
			fmt.Fprintf(&out, "orderer %d sends order %d fencing=%d within %v\n", i, s.Order.ID, s.FencingNumber, max(0, s.SendBy-f.clock(o)))
		}
	}
	return out.String()
}
