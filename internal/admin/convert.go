package admin

import (
	"encoding/json"

	"github.com/mulberrybank/mulberrybank/internal/membership"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// ToPublication converts a request body. The daemon is the host whose API received
// it.
func ToPublication(body *Publication, daemon string) *publish.Publication {
	return &publish.Publication{
		Id:               body.ID,
		Workspace:        body.Workspace,
		Base:             body.Base,
		Author:           body.Author,
		Reason:           body.Reason,
		SetTemplates:     body.SetTemplates,
		RemoveTemplates:  body.RemoveTemplates,
		SetParameters:    parameterTexts(body.SetParameters),
		RemoveParameters: body.RemoveParameters,
		Daemon:           daemon,
	}
}

// FromPublication converts a publication to a request body.
func FromPublication(p *publish.Publication) *Publication {
	return &Publication{
		ID:               p.GetId(),
		Workspace:        p.GetWorkspace(),
		Base:             p.GetBase(),
		Author:           p.GetAuthor(),
		Reason:           p.GetReason(),
		SetTemplates:     p.GetSetTemplates(),
		RemoveTemplates:  p.GetRemoveTemplates(),
		SetParameters:    parameterValues(p.GetSetParameters()),
		RemoveParameters: p.GetRemoveParameters(),
	}
}

// parameterTexts converts parameters of the API to JSON texts by name.
func parameterTexts(values map[string]json.RawMessage) map[string]string {
	if len(values) == 0 {
		return nil
	}
	result := make(map[string]string, len(values))
	for name, value := range values {
		result[name] = string(value)
	}
	return result
}

// parameterValues converts JSON texts by name to parameters of the API.
func parameterValues(texts map[string]string) map[string]json.RawMessage {
	result := make(map[string]json.RawMessage, len(texts))
	for name, text := range texts {
		result[name] = json.RawMessage(text)
	}
	return result
}

func fromVerdict(v publish.Verdict) Verdict {
	verdict := Verdict{
		ID:              v.ID,
		Workspace:       v.Workspace,
		Outcome:         v.Outcome.String(),
		Offset:          v.Offset,
		Version:         uint64(v.Version),
		Author:          v.Author,
		Reason:          v.Reason,
		ConflictVersion: uint64(v.ConflictVersion),
		ConflictAuthor:  v.ConflictAuthor,
	}
	for _, problem := range v.Problems {
		verdict.Problems = append(verdict.Problems, Fault{Place: problem.Place, Reason: problem.Reason})
	}
	return verdict
}

// versionedSource is the source of a workspace at one version.
type versionedSource struct {
	*publish.Source
	version publish.Version
}

func fromSource(s versionedSource) Source {
	templates := s.Templates
	if templates == nil {
		templates = map[string]string{}
	}
	return Source{
		Workspace:  s.Name,
		Version:    uint64(s.version),
		Templates:  templates,
		Parameters: parameterValues(s.Parameters),
	}
}

// ToSource converts a source of an API response.
func ToSource(s *Source) *publish.Source {
	return &publish.Source{Name: s.Workspace, Templates: s.Templates, Parameters: parameterTexts(s.Parameters)}
}

func fromMember(m membership.Member) Member {
	return Member{
		Host:        m.Host,
		Zone:        m.Zone,
		Region:      m.Region,
		Incarnation: m.Version.Incarnation,
		State:       stateName(m.State),
		Service:     m.Service,
		Slots:       m.Slots,
		Target:      targetName(m.TargetState),
		Reach:       reachName(m.Reachability),
		Heard:       m.LastHeard,
	}
}

func stateName(state membership.State) string {
	switch state {
	case membership.Alive:
		return "alive"
	case membership.Leaving:
		return "leaving"
	default:
		return "left"
	}
}

func targetName(state membership.TargetState) string {
	switch state {
	case membership.Cold:
		return "cold"
	case membership.Ready:
		return "ready"
	case membership.Draining:
		return "draining"
	default:
		return "none"
	}
}

func reachName(reach membership.Reachability) string {
	switch reach {
	case membership.Reachable:
		return "reachable"
	case membership.Suspect:
		return "suspect"
	default:
		return "unreachable"
	}
}
