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

// PublishRequest is a source to publish and the version on which it is based.
type PublishRequest struct {
	Author string
	// Base is the version that Next replaces, Current its source.
	Base    uint64
	Current *publish.Source
	Next    *publish.Source
}

// Publish sends the difference between Current and Next through one daemon.
func (m *Mesh) Publish(ctx context.Context, index int, request PublishRequest) (*admin.Verdict, error) {
	changes := publish.Diff(request.Current, request.Next)
	changes.Id = uuid.NewString()
	changes.Base = request.Base
	changes.Author = request.Author
	return m.Admin(index).Publish(ctx, admin.FromPublication(changes))
}
