package upstream

// HopByHopHeaders are the headers that apply to one connection only, in both directions, by RFC
// 9110 and older practice.
var HopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade",
}
