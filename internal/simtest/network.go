package simtest

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citrongate/citrongate/pkg/node"
	pb "github.com/citrongate/citrongate/proto/citrongate/v1"
)

// Cut drops all frames from one process's address to another's until Heal. The
// opposite direction is not affected.
func (w *World) Cut(from, to string) { w.cuts[[2]string{from, to}] = true }

// Heal restores all paths that Cut broke.
func (w *World) Heal() {
	for _, i := range w.Live() {
		for path := range w.cuts {
			if path[0] == i.Address || path[1] == i.Address {
				w.recordDisturbance(i, "heal")
				break
			}
		}
	}
	w.cuts = map[[2]string]bool{}
}

// send encodes a frame and delivers it after the network delay, or drops it if
// the path is cut or the frame is lost.
func (w *World) send(from *Instance, a node.SendFrame) {
	encoded, err := proto.Marshal(a.Frame)
	if err != nil {
		panic(err)
	}
	if w.OnFrame != nil {
		w.OnFrame(from, a.Address, a.Frame, len(encoded))
	}
	w.FrameBytes += uint64(len(encoded))
	if w.cuts[[2]string{from.Address, a.Address}] || w.Loop.Rand.Float64() < w.Loss {
		w.Trace.Disturbances = append(w.Trace.Disturbances,
			Disturbance{w.Loop.Now(), from.Address, "lost"}, Disturbance{w.Loop.Now(), a.Address, "lost"})
		return
	}
	delay := w.Delay
	if w.Jitter > 0 {
		delay += time.Duration(w.Loop.Rand.Float64() * float64(w.Jitter))
	}
	w.Loop.After(delay, func() {
		for _, to := range w.Instances {
			if !to.Alive || to.Address != a.Address {
				continue
			}
			frame := &pb.Frame{}
			if err := proto.Unmarshal(encoded, frame); err != nil {
				panic(err)
			}
			to.step(node.FrameReceived{Frame: frame})
		}
	})
}
