package configsvc

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"coveferry/internal/standin/web"
)

// Handler serves the values.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathValues+"{key...}", s.serveValue)
	return s.gate.Wrap(mux)
}

func (s *Service) serveValue(w http.ResponseWriter, r *http.Request) {
	wait, watch, err := waitParam(r)
	if err != nil {
		web.WriteError(w, http.StatusBadRequest, err.Error())
		return
	}
	if !s.allowCall(watch) {
		w.Header().Set("Retry-After", "1")
		web.WriteError(w, http.StatusTooManyRequests, "too many reads")
		return
	}
	key := r.PathValue("key")
	if watch && !s.waitForNewer(r.Context(), key, wait) {
		s.writeUnchanged(w, key)
		return
	}
	v, ok := s.servedVersion(key)
	if !ok {
		web.WriteError(w, http.StatusNotFound, "no such value")
		return
	}
	if r.Header.Get("If-None-Match") == etag(v.number) {
		s.writeUnchanged(w, key)
		return
	}
	s.writeValue(w, v)
}

// waitParam returns the version that a watch already has, and whether the
// request is a watch.
func waitParam(r *http.Request) (uint64, bool, error) {
	text := r.URL.Query().Get("wait")
	if text == "" {
		return 0, false, nil
	}
	wait, err := strconv.ParseUint(text, 10, 64)
	return wait, true, errors.Wrap(err, "wait")
}

func (s *Service) allowCall(watch bool) bool {
	ok := s.limiter.Allow()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls++
	if watch {
		s.stats.Watches++
	}
	if !ok {
		s.stats.Limited++
	}
	return ok
}

// servedVersion returns the version that readers see now, the pinned one if any.
func (s *Service) servedVersion(key string) (version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servedVersionLocked(key)
}

func (s *Service) servedVersionLocked(key string) (version, bool) {
	versions := s.values[key]
	if number, ok := s.pinned[key]; ok {
		return findVersion(versions, number)
	}
	if len(versions) == 0 {
		return version{}, false
	}
	return versions[len(versions)-1], true
}

// waitForNewer waits for a version later than number. It returns false if there
// is none within Config.MaxWait.
func (s *Service) waitForNewer(ctx context.Context, key string, number uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.MaxWait)
	defer cancel()
	s.addWaiting(1)
	defer s.addWaiting(-1)
	for {
		s.mu.Lock()
		v, ok := s.servedVersionLocked(key)
		changed := s.changed
		s.mu.Unlock()
		if ok && v.number > number {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (s *Service) addWaiting(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Waiting += n
}

func etag(number uint64) string { return `"` + strconv.FormatUint(number, 10) + `"` }

func setVersion(w http.ResponseWriter, number uint64) {
	w.Header().Set("ETag", etag(number))
	w.Header().Set(HeaderVersion, strconv.FormatUint(number, 10))
}

func (s *Service) writeUnchanged(w http.ResponseWriter, key string) {
	s.mu.Lock()
	v, ok := s.servedVersionLocked(key)
	s.stats.NotModified++
	s.mu.Unlock()
	if ok {
		setVersion(w, v.number)
	}
	w.WriteHeader(http.StatusNotModified)
}

func (s *Service) writeValue(w http.ResponseWriter, v version) {
	s.mu.Lock()
	s.stats.Bytes += int64(len(v.data))
	s.mu.Unlock()
	setVersion(w, v.number)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(v.data)))
	_, _ = w.Write(v.data) // the reader may have disconnected
}
