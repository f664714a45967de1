package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
)

const (
	announcePath = "/announce"
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 16 << 10
)

// AnnounceHandler returns the HTTP handler for the target on this host: POST
// /announce renews its lease and DELETE /announce ends it.
func (m *Membership) AnnounceHandler() http.Handler {
	router := httprouter.New()
	router.POST(announcePath, m.serveAnnounce)
	router.DELETE(announcePath, m.serveWithdraw)
	return router
}

func (m *Membership) serveAnnounce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	announcement, err := decodeAnnouncement(w, r)
	if err == nil {
		err = m.Announce(announcement)
	}
	if err == nil && announcement.IsDeparture() {
		err = m.AwaitHistoryHeld(r.Context())
	}
	switch {
	case errors.Is(err, ErrHistoryNotHeld):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case errors.Is(err, ErrLaterStartServed):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

func (m *Membership) serveWithdraw(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	m.Withdraw()
	w.WriteHeader(http.StatusNoContent)
}

func decodeAnnouncement(w http.ResponseWriter, r *http.Request) (Announcement, error) {
	var announcement Announcement
	body := http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	if err := json.NewDecoder(body).Decode(&announcement); err != nil {
		return Announcement{}, fmt.Errorf("%w: decode body: %w", ErrAnnouncementRefused, err)
	}
	return announcement, nil
}

// Announce renews the lease of the target on this host. The error wraps
// ErrAnnouncementRefused.
func (m *Membership) Announce(a Announcement) error {
	m.mu.Lock()
	known := m.lease.history
	err := m.lease.renew(a, time.Now())
	departed := !m.lease.history.equal(known)
	m.mu.Unlock()
	switch {
	case departed:
		m.publishHistory()
	case err == nil:
		m.updateSelf(nil)
	}
	return err
}

// WithdrawInstance ends the lease of one instance of the target, and of earlier starts of
// it, which do not become ready again. An instance that holds no lease is only remembered as
// departed. The error wraps ErrAnnouncementRefused or ErrLaterStartServed.
func (m *Membership) WithdrawInstance(instance string, startedUnixMs int64) error {
	if err := validateInstance(instance); err != nil {
		return err
	}
	m.mu.Lock()
	last := m.lease.lastAnnouncement
	if last.Instance == instance && startedUnixMs == 0 {
		startedUnixMs = last.StartedUnixMs
	}
	leaving := instanceID{instance: instance, startedUnixMs: startedUnixMs}
	m.lease.recordDeparture(leaving, time.Now())
	current := departedInstance{instanceID: leaving}.match(last.instanceID()) != another
	inDoubt := !current && m.lease.servesLaterStart(leaving)
	m.mu.Unlock()
	if current {
		m.Withdraw()
	}
	m.publishHistory()
	if inDoubt {
		return fmt.Errorf("%w: instance %q started at %d", ErrLaterStartServed, instance, startedUnixMs)
	}
	return nil
}

// Withdraw ends the lease of the target on this host.
func (m *Membership) Withdraw() {
	m.mu.Lock()
	service := m.lease.announcement.Service
	withdrawn := m.lease.withdraw(time.Now())
	m.mu.Unlock()
	if withdrawn {
		m.recordWithdrawn(service, "by the target")
	}
	m.updateSelf(nil)
}
