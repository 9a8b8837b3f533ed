package cmdset

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/verbenapier/verbenapier/internal/admin"
	"github.com/verbenapier/verbenapier/internal/alarm"
	"github.com/verbenapier/verbenapier/pkg/confd/strict"
)

func nodeList(s *session) error {
	return list(s, "nodes", "NAME STATE DOMAIN REGION ADDRESS REVISION", func(n admin.Node) []any {
		row := []any{n.Name, n.State, n.FailureDomain, n.Region, n.Address}
		return append(row, known(n.Revision > 0, n.Revision)...)
	})
}

func cellList(s *session) error {
	return list(s, "cells", "NAME SERVICE DOMAIN OWNER ENGINES FREE QUEUED RUNNING WAITING", func(c admin.Cell) []any {
		row := []any{c.Name, c.Service, c.FailureDomain, c.Owner, c.Engines}
		return append(row, known(c.Known, c.FreeTokens, c.QueuedTokens, c.Running, c.Waiting)...)
	})
}

func engineList(s *session) error {
	return list(s, "engines", "NAME SERVICE CELL STATE MODELS USED CAPACITY RUNNING REPORT", func(e admin.Engine) []any {
		row := []any{e.Name, e.Service, e.Cell, e.State}
		return append(row, known(e.Known, strings.Join(e.Models, ","), e.UsedTokens, e.CapacityTokens, e.Running, short(e.ReportAge))...)
	})
}

// known returns the values, or a dash for each when the node that was asked does
// not know them.
func known(yes bool, values ...any) []any {
	if !yes {
		for i := range values {
			values[i] = "-"
		}
	}
	return values
}

func organisationList(s *session) error {
	return list(s, "organisations", "NAME WEIGHT RUNNING WAITING ADMITTED REFUSED TOKENS", func(o admin.Organisation) []any {
		return []any{o.Name, o.Weight, o.Running, o.Waiting, o.Admitted, o.Refused, o.Tokens}
	})
}

func requestList(s *session) error {
	return list(s, "requests", "ID ORGANISATION SERVICE STATE ENGINE ATTEMPT TOKENS AGE REMAINING", func(r admin.Request) []any {
		return []any{r.ID, r.Organisation, r.Service, r.State, r.Engine, r.Attempt, r.PromptTokens, short(r.Age), short(r.Remaining)}
	})
}

func alarmList(s *session) error {
	return list(s, "alarms", "PROMISE NAME SUBJECT SINCE EVIDENCE ACTION", func(a alarm.Alarm) []any {
		return []any{int(a.Promise), a.Name, a.Subject, a.Since.UTC().Format(time.RFC3339), a.Evidence, a.Action}
	})
}

func quarantineList(s *session) error {
	return list(s, "quarantine", "FINGERPRINT STATE ORGANISATION MODEL ENGINES UNTIL", func(q admin.Quarantined) []any {
		return []any{q.Fingerprint, q.State, q.Organisation, q.Model, strings.Join(q.Engines, ","), q.Until.UTC().Format(time.RFC3339)}
	})
}

func short(d admin.Duration) string { return strict.Short(d.Std().Round(time.Millisecond)) }

func quarantineLift(s *session) error {
	args, err := s.parse(nil, "FINGERPRINT", 1, 1)
	if err != nil {
		return err
	}
	var answer map[string]string
	if err := s.call("DELETE", "quarantine/"+url.PathEscape(args[0]), nil, &answer); err != nil {
		return err
	}
	return s.say(answer, "lifted %s", args[0])
}

// say prints a sentence, or the value with --json.
func (s *session) say(v any, format string, args ...any) error {
	if s.JSON {
		return s.printJSON(v)
	}
	_, err := fmt.Fprintf(s.stdout, format+"\n", args...)
	return err
}

func nodeDrain(s *session) error {
	if _, err := s.parse(nil, "", 0, 0); err != nil {
		return err
	}
	var health admin.Health
	if err := s.call("POST", "drain", nil, &health); err != nil {
		return err
	}
	return s.say(health, "%s leaves; it stops when its requests have ended", health.Node)
}

func nodeDump(s *session) error {
	if _, err := s.parse(nil, "", 0, 0); err != nil {
		return err
	}
	var dump map[string]any
	if err := s.call("GET", "dump", nil, &dump); err != nil {
		return err
	}
	return s.printJSON(dump)
}

// nodeHealth fails when the node is not ready, so that scripts can wait.
func nodeHealth(s *session) error {
	if _, err := s.parse(nil, "", 0, 0); err != nil {
		return err
	}
	var health admin.Health
	if err := s.call("GET", "health", nil, &health); err != nil {
		return err
	}
	text := "ready"
	if !health.Ready {
		text = "not ready: " + strings.Join(health.Reasons, "; ")
	}
	if err := s.say(health, "%s %s (revision %d)", health.Node, text, health.Revision); err != nil {
		return err
	}
	if !health.Ready {
		return errNotReady
	}
	return nil
}
