package route

import (
	"slices"
	"strings"

	"github.com/mulberrybank/mulberrybank/internal/membership"
)

// VersionFilter restricts a choice to the targets of some versions. Filters of the same
// versions are equal, so that the targets of each are indexed once.
type VersionFilter struct {
	// versions are joined by versionSeparator.
	versions string
	except   bool
}

// versionSeparator is in no version, since it is not printable.
const versionSeparator = "\x00"

// OnlyVersion returns the filter of the targets that run a version.
func OnlyVersion(version string) VersionFilter { return VersionFilter{versions: version} }

// ExceptVersions returns the filter of the targets that run none of some versions.
func ExceptVersions(versions ...string) VersionFilter {
	versions = slices.Compact(slices.Sorted(slices.Values(versions)))
	return VersionFilter{versions: strings.Join(versions, versionSeparator), except: true}
}

// Matches reports whether targets of a version may be chosen.
func (f VersionFilter) Matches(version string) bool {
	return slices.Contains(strings.Split(f.versions, versionSeparator), version) != f.except
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
		ix = r.newIndex(service, &key.filter)
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
