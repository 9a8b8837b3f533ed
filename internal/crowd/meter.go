package crowd

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"github.com/verbenapier/verbenapier/pkg/group"
)

// sampleInterval is the time between two measurements of a process.
const sampleInterval = 10 * time.Millisecond

// settledSamples is the number of equal measurements after which the bytes on the
// connections of a process are taken to stay where they are.
const settledSamples = 25

// Settle waits until the process reads no more of what clients have sent, or has ended.
func Settle(ctx context.Context, p *Process) error {
	last, equal := Usage{}, 0
	for equal < settledSamples && group.Sleep(ctx, sampleInterval) {
		u, ended, err := p.sample()
		if ended || err != nil {
			return err
		}
		if equal++; u.queued != last.queued {
			last, equal = u, 0
		}
	}
	return ctx.Err()
}

// sample measures the process unless it has ended.
func (p *Process) sample() (u Usage, ended bool, err error) {
	u, err = p.Usage()
	select {
	case <-p.Exited():
		return Usage{}, true, nil
	default:
	}
	if errors.Is(err, fs.ErrNotExist) {
		// The process is about to be waited for.
		return Usage{}, false, nil
	}
	return u, false, err
}

// Meter measures a process again and again.
type Meter struct {
	process *Process
	group   *group.Group
	// peak is read only after the group has ended.
	peak Usage
}

// Watch starts to measure a process.
func Watch(ctx context.Context, p *Process) *Meter {
	m := &Meter{process: p, group: group.New(ctx)}
	m.group.Go("meter", func(ctx context.Context) error {
		for {
			u, ended, err := p.sample()
			if ended || err != nil {
				return err
			}
			m.peak.Memory, m.peak.Sockets = max(m.peak.Memory, u.Memory), max(m.peak.Sockets, u.Sockets)
			if !group.Sleep(ctx, sampleInterval) {
				return nil
			}
		}
	})
	return m
}

// Peak ends the measurements and returns the largest of each figure. The kernel knows the
// largest resident memory also where measurements are far apart because the machine is
// busy.
func (m *Meter) Peak() (Usage, error) {
	m.group.Stop()
	err := m.group.Wait()
	resident, residentErr := m.process.peakResident()
	m.peak.Memory = max(m.peak.Memory, resident)
	return m.peak, errors.Join(err, residentErr)
}
