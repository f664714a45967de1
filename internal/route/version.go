package route

import (
	"slices"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// VersionFilter restricts a choice to the targets of some versions. Filters of the same
// versions are equal, so that the targets of each are indexed once. The zero value
// matches none.
type VersionFilter struct {
	// versions are sorted, each followed by versionEnd.
	versions string
}

// versionEnd is in no version, since it is not printable.
const versionEnd = "\x00"

// OnlyVersions returns the filter of the targets that run one of some versions.
func OnlyVersions(versions ...string) VersionFilter {
	var joined strings.Builder
	for _, version := range slices.Compact(slices.Sorted(slices.Values(versions))) {
		joined.WriteString(version + versionEnd)
	}
	return VersionFilter{versions: joined.String()}
}

// Matches reports whether targets of a version may be chosen.
func (f VersionFilter) Matches(version string) bool {
	for rest := f.versions; rest != ""; {
		var matched string
		matched, rest, _ = strings.Cut(rest, versionEnd)
		if matched == version {
			return true
		}
	}
	return false
}

// versionedService is a service whose targets are restricted by a filter.
type versionedService struct {
	service string
	filter  VersionFilter
}

// findIndex returns the index of the targets that a request may get. Requests without
// a filter look up the service alone.
func (r *Router) findIndex(request Request) *serviceIndex {
	service := request.Service.Name
	if request.Version == nil {
		ix := r.services[service]
		if ix == nil {
			ix = r.newIndex(service, nil)
			r.services[service] = ix
		}
		return ix
	}
	key := versionedService{service: service, filter: *request.Version}
	ix := r.versions[key]
	if ix == nil {
		filter := key.filter
		ix = r.newIndex(service, &filter)
		r.versions[key] = ix
	}
	return ix
}

func (r *Router) newIndex(service string, filter *VersionFilter) *serviceIndex {
	return &serviceIndex{router: r, service: service, filter: filter, targets: make(map[string]*target), rates: make(map[int]rateSum)}
}

// holds reports whether the index holds a member of its service.
func (ix *serviceIndex) holds(member *membership.Member) bool {
	return ix.filter == nil || ix.filter.Matches(member.TargetVersion)
}
