package registry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"apricotrouter/event"
	"apricotrouter/state"
	"apricotrouter/steperr"
	"apricotrouter/transport"
)

const (
	// passOnTimeout bounds the time for which an announcement is passed on,
	// so that none arrives late. It is below announceDelayBound.
	passOnTimeout = time.Second
	// againSoon is asked for while the endpoint has no owner or the owner
	// waits for an announcement made after the takeover.
	againSoon = 50 * time.Millisecond
)

var errNotOwner = errors.New("instance does not own the endpoint")

// AnnounceHandler returns the handler of POST /v1/announce. It answers 200
// with an AnnounceAnswer, 400 to an announcement that is not valid, and 503
// if it could not be passed on; the endpoint then announces itself to another
// instance.
func (r *Registry) AnnounceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodPost {
			w.Header().Set("Allow", http.MethodPost)
			http.Error(w, "announcements are sent by POST", http.StatusMethodNotAllowed)
			return
		}
		a := new(Announcement)
		err := json.NewDecoder(http.MaxBytesReader(w, req.Body, MaxAnnouncementBytes)).Decode(a)
		if err == nil {
			err = a.Validate()
		}
		if err != nil {
			event.Log(r.opts.Logger, event.AnnouncementRefused, slog.String("endpoint", a.ID), slog.Any("error", err))
			http.Error(w, "announcement is not valid: "+err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := r.receive(req.Context(), a)
		if err != nil {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "announcement was not passed on: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	})
}

// receive handles an announcement that the endpoint sent to this instance.
func (r *Registry) receive(ctx context.Context, a *Announcement) (*AnnounceAnswer, error) {
	s := r.opts.Log.State()
	assigned := s.Assignment(state.AssignEndpoint, a.ID)
	if assigned == nil {
		if err := r.register(ctx, s, a); err != nil {
			return nil, err
		}
		return &AnnounceAnswer{AgainMillis: againSoon.Milliseconds()}, nil
	}
	// The owner is told first, so that a leaving endpoint gets nothing new
	// even while no change can be committed. If the owner can't be reached,
	// it learns of the change from the log.
	answer, passErr := r.passOn(ctx, assigned, a)
	if err := r.register(ctx, s, a); err != nil {
		return nil, errors.Join(passErr, err)
	}
	if passErr != nil {
		return nil, passErr
	}
	return answer, nil
}

// passOn gives an announcement to the owner of the endpoint.
func (r *Registry) passOn(ctx context.Context, assigned *state.Assignment, a *Announcement) (*AnnounceAnswer, error) {
	if assigned.Owner == r.opts.Self {
		answer, err := r.announced(ctx, r.opts.Self, a)
		if err == nil && answer.NotOwner {
			err = errNotOwner
		}
		return answer, err
	}
	ctx, cancel := context.WithTimeout(ctx, passOnTimeout)
	defer cancel()
	answer := new(AnnounceAnswer)
	if err := r.opts.Peers.Call(ctx, assigned.Owner, transport.KindAnnounce, a, answer); err != nil {
		return nil, steperr.Wrap(err, "pass on announcement", assigned.Owner)
	}
	if answer.NotOwner {
		return nil, steperr.Wrap(errNotOwner, "pass on announcement", assigned.Owner)
	}
	return answer, nil
}

// announced handles an announcement as the owner of the endpoint.
func (r *Registry) announced(_ context.Context, _ string, a *Announcement) (*AnnounceAnswer, error) {
	r.Sync(r.opts.Log.State())
	e := r.lookup(a.ID)
	if e == nil {
		return &AnnounceAnswer{NotOwner: true}, nil
	}
	answer := &AnnounceAnswer{Owner: r.opts.Self, Fence: e.currentFence()}
	switch {
	case a.Incarnation < e.Incarnation:
		return answer, nil
	case a.Incarnation > e.Incarnation || a.Address != e.Address:
		// The endpoint has restarted: the earlier incarnation gets nothing new,
		// and the new one is used once it is committed.
		e.setDraining()
		answer.AgainMillis = againSoon.Milliseconds()
		return answer, nil
	}
	if a.Draining && e.setDraining() {
		event.Log(r.opts.Logger, event.EndpointDraining, slog.String("endpoint", e.ID))
	}
	if e.heard(a, r.prefix, r.opts.Clock.Now()) {
		answer.AgainMillis = againSoon.Milliseconds()
	}
	r.signal()
	return answer, nil
}
