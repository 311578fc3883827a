package cicadaupstream

import (
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// keptConnections decides which connections are kept for further calls. A runner may write a response
// twice; on a kept connection, the copy would be taken for the response to the next call. So connections
// are kept only with runners that name the request in their responses, and a response on a kept connection
// must name its own.
type keptConnections struct {
	naming sync.Map // by address: the last response named its request
}

// mayKeep reports whether the connection of a call to a runner may be kept.
func (k *keptConnections) mayKeep(addr string) bool {
	naming, ok := k.naming.Load(addr)
	return ok && naming == true
}

// check returns an error if a response may belong to an earlier call.
func (k *keptConnections) check(call *Call, info *httptrace.GotConnInfo, resp *http.Response) error {
	id := resp.Header.Get(HeaderRequestID)
	k.naming.Store(call.Addr, id == call.RequestID)
	if id == call.RequestID || id == "" && !info.Reused {
		return nil
	}
	return errors.Errorf("the response is to request %q", id)
}
