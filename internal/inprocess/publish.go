package inprocess

import (
	"context"
	"net/http"

	"github.com/google/uuid"

	"github.com/mulberrybank/mulberrybank/internal/admin"
	"github.com/mulberrybank/mulberrybank/internal/publish"
)

// Admin returns a client of the administration API of one host.
func (m *Mesh) Admin(index int) *admin.Client {
	return admin.NewClient(m.Hosts[index].Daemon.Addresses().Admin, "", http.DefaultClient)
}

// Edition is a source to publish, and what it is based on.
type Edition struct {
	Author string
	// Base and Current are the version and the source that it replaces.
	Base    uint64
	Current *publish.Source
	Next    *publish.Source
}

// Publish sends the changes of an edition through one daemon.
func (m *Mesh) Publish(ctx context.Context, index int, edition Edition) (*admin.Verdict, error) {
	changes := publish.Diff(edition.Current, edition.Next)
	changes.Id = uuid.NewString()
	changes.Base = edition.Base
	changes.Author = edition.Author
	return m.Admin(index).Publish(ctx, admin.FromPublication(changes))
}
