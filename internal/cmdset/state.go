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
		return append(row, dashIfUnknown(n.Revision > 0, n.Revision)...)
	})
}

func cellList(s *session) error {
	return list(s, "cells", "NAME SERVICE DOMAIN OWNER ENGINES FREE QUEUED RUNNING WAITING", func(c admin.Cell) []any {
		row := []any{c.Name, c.Service, c.FailureDomain, c.Owner, c.Engines}
		return append(row, dashIfUnknown(c.Known, c.FreeTokens, c.QueuedTokens, c.Running, c.Waiting)...)
	})
}

func engineList(s *session) error {
	return list(s, "engines", "NAME SERVICE CELL STATE MODELS USED CAPACITY RUNNING REPORT", func(e admin.Engine) []any {
		row := []any{e.Name, e.Service, e.Cell, e.State}
		return append(row, dashIfUnknown(e.Known, strings.Join(e.Models, ","), e.UsedTokens, e.CapacityTokens, e.Running, shortDuration(e.ReportAge))...)
	})
}

// dashIfUnknown returns the values, or a dash for each if the node that was
// asked does not know them.
func dashIfUnknown(known bool, values ...any) []any {
	if !known {
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
		return []any{r.ID, r.Organisation, r.Service, r.State, r.Engine, r.Attempt, r.PromptTokens, shortDuration(r.Age), shortDuration(r.Remaining)}
	})
}

func alarmList(s *session) error {
	return list(s, "alarms", "PROMISE NAME SUBJECT SINCE EVIDENCE ACTION", func(a alarm.Alarm) []any {
		return []any{int(a.Promise), a.Name, a.Subject, a.Since.UTC().Format(time.RFC3339), a.Evidence, a.Action}
	})
}

func quarantineList(s *session) error {
	return list(s, "quarantine", "FINGERPRINT STATE ORGANISATION MODEL ENGINES UNTIL", func(q admin.QuarantinedPrompt) []any {
		return []any{q.Fingerprint, q.State, q.Organisation, q.Model, strings.Join(q.Engines, ","), q.Until.UTC().Format(time.RFC3339)}
	})
}

func shortDuration(d admin.Duration) string {
	return strict.FormatDuration(d.Std().Round(time.Millisecond))
}

func quarantineLift(s *session) error {
	args, err := s.parse(nil, "FINGERPRINT", 1, 1)
	if err != nil {
		return err
	}
	var answer map[string]string
	if err := s.call("DELETE", "quarantine/"+url.PathEscape(args[0]), nil, &answer); err != nil {
		return err
	}
	return s.printResult(answer, "lifted %s", args[0])
}

// printResult prints a formatted line, or with --json the value v.
func (s *session) printResult(v any, format string, args ...any) error {
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
	return s.printResult(health, "%s leaves; it stops when its requests have ended", health.Node)
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

// nodeHealth fails when the node is not ready, so that a script can repeat the
// command until it succeeds.
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
	if err := s.printResult(health, "%s %s (revision %d)", health.Node, text, health.Revision); err != nil {
		return err
	}
	if !health.Ready {
		return errNotReady
	}
	return nil
}
