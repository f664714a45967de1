// Package crowd tests daemon processes against crowds of abusive clients. The
// crowds, the places that they connect to and the bounds are described in
// docs/design/abusive-clients.md.
package crowd
