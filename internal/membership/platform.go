package membership

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// pathVMs is the path of the list on the platform's servers.
	pathVMs = "/v1/vms"
	// listTimeout bounds one read, and maxListBytes its size: 100 B for each of
	// 80,000 VMs.
	listTimeout  = time.Second
	maxListBytes = 8 << 20
)

// vmState is a VM's state in the platform's list.
type vmState string

const (
	vmLive    vmState = "live"
	vmLeaving vmState = "leaving"
)

func vmStateOf(leaving bool) vmState {
	if leaving {
		return vmLeaving
	}
	return vmLive
}

// listResponse is the platform's response.
type listResponse struct {
	VMs []struct {
		Name  string  `json:"name"`
		State vmState `json:"state"`
	} `json:"vms"`
	At time.Time `json:"at"`
}

// PlatformClient reads the platform's list of VMs from one server.
type PlatformClient struct {
	client *http.Client
	url    string
}

// NewPlatformClient returns a client for the server with the given base URL.
func NewPlatformClient(client *http.Client, base string) *PlatformClient {
	return &PlatformClient{client: client, url: strings.TrimSuffix(base, "/") + pathVMs}
}

// Read reads the list. Its error is a *ListError.
func (p *PlatformClient) Read(ctx context.Context) (ListRead, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var l listResponse
	err := getJSON(ctx, p.client, p.url, maxListBytes, &l)
	if err != nil {
		return ListRead{}, &ListError{URL: p.url, Cause: err}
	}
	read, err := l.toListRead()
	if err != nil {
		return ListRead{}, &ListError{URL: p.url, Cause: err}
	}
	return read, nil
}

// toListRead converts the response. It rejects the list as a whole if any VM has an
// unknown state, whose meaning can't be guessed.
func (l listResponse) toListRead() (ListRead, error) {
	if len(l.VMs) == 0 {
		return ListRead{}, errors.New("empty")
	}
	read := ListRead{At: l.At, VMs: make([]VM, len(l.VMs))}
	for i, vm := range l.VMs {
		if vm.State != vmLive && vm.State != vmLeaving {
			return ListRead{}, errors.Newf("VM %q has the unknown state %q", vm.Name, vm.State)
		}
		read.VMs[i] = VM{Name: vm.Name, Leaving: vm.State == vmLeaving}
	}
	return read, nil
}
