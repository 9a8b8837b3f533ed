package daemon

import (
	"context"
	"time"

	"github.com/verbenapier/verbenapier/internal/admin"
	"github.com/verbenapier/verbenapier/internal/crash"
	"github.com/verbenapier/verbenapier/internal/entry"
	"github.com/verbenapier/verbenapier/internal/poison"
	"github.com/verbenapier/verbenapier/pkg/fault"
)

// suspectCheckDelay is the mean delay before a suspect prompt that must wait is
// checked again.
const suspectCheckDelay = 250 * time.Millisecond

// buildQuarantine creates the registry of suspect and quarantined prompts.
func (d *Daemon) buildQuarantine() entry.Quarantine {
	d.poison = poison.New(poison.Options{
		Store: d.store, Caller: d.peerClient, Peers: d.members.Members, Node: d.settings.Name,
		Logger: d.log, Scope: d.metrics.SubScope("poison"),
	})
	d.poison.Register(d.mux)
	return quarantine{d.poison}
}

// buildContent creates the registry of prompts' beginnings that crash engines. Hosts
// learn its quarantines from each other.
func (d *Daemon) buildContent() entry.Content {
	d.content = crash.NewRegistry(crash.Options{
		Members: d.members, Caller: d.peerClient, Group: d.group, Log: d.log, Metrics: d.metrics.SubScope("crash"),
	})
	d.content.Register(d.mux)
	return d.content
}

// quarantine adapts the registry to entry.Quarantine and admin.Quarantine.
type quarantine struct{ registry *poison.Registry }

// Admit implements entry.Quarantine. It reserves a suspect prompt for this
// dispatch, so that no other dispatch of the prompt runs at the same time. While
// the suspect must wait or the platform is down, Admit tries again until the
// context ends.
func (q quarantine) Admit(ctx context.Context, d entry.Dispatch) (bool, error) {
	fingerprint, err := poison.ParseFingerprint(d.Fingerprint)
	if err != nil {
		return false, err
	}
	for {
		verdict, err := q.registry.Check(ctx, fingerprint)
		if err == nil && verdict.State == poison.Suspected && !verdict.Wait {
			verdict, err = q.registry.Reserve(ctx, fingerprint, d.ID)
		}
		switch {
		case err != nil && !fault.Is(err, fault.PlatformDown):
			return false, err
		case err == nil && verdict.State == poison.Quarantined:
			return false, fault.New(fault.Quarantined, "the prompt crashed engines and is quarantined until %s",
				verdict.Until.UTC().Format(time.RFC3339))
		case err == nil && !verdict.Wait:
			return verdict.State == poison.Suspected, nil
		}
		if !sleep(ctx, jitter(suspectCheckDelay)) {
			return false, fault.Wrap(fault.NotStarted, ctx.Err(), "the prompt waited as a suspect until its time limit")
		}
	}
}

// RecordCrash implements entry.Quarantine.
func (q quarantine) RecordCrash(ctx context.Context, engine string, d entry.Dispatch, alone bool) error {
	fingerprint, err := poison.ParseFingerprint(d.Fingerprint)
	if err != nil {
		return err
	}
	return q.registry.RecordCrash(ctx, engine, []poison.CrashReport{{
		Fingerprint: fingerprint, Dispatch: d.ID, Alone: alone, Quarantine: d.QuarantineTime,
	}})
}

// Release implements entry.Quarantine.
func (q quarantine) Release(ctx context.Context, d entry.Dispatch) error {
	fingerprint, err := poison.ParseFingerprint(d.Fingerprint)
	if err != nil {
		return err
	}
	return q.registry.Release(ctx, fingerprint, d.ID)
}

// Clear implements entry.Quarantine.
func (q quarantine) Clear(ctx context.Context, d entry.Dispatch) error {
	fingerprint, err := poison.ParseFingerprint(d.Fingerprint)
	if err != nil {
		return err
	}
	return q.registry.Clear(ctx, fingerprint)
}

// Lift implements admin.Quarantine.
func (q quarantine) Lift(ctx context.Context, text string) error {
	fingerprint, err := poison.ParseFingerprint(text)
	if err != nil {
		return err
	}
	return q.registry.Lift(ctx, fingerprint)
}

// Quarantined implements admin.Quarantine.
func (q quarantine) Quarantined(context.Context) ([]admin.QuarantinedPrompt, error) {
	records := q.registry.List()
	list := make([]admin.QuarantinedPrompt, 0, len(records))
	for _, r := range records {
		list = append(list, admin.QuarantinedPrompt{
			Fingerprint: r.Fingerprint.String(), State: string(r.State), Until: r.Until,
		})
	}
	return list, nil
}
