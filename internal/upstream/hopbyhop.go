package upstream

// HopByHop are the headers that concern one connection only in both directions,
// by RFC 9110 and older practice.
var HopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Trailer", "Transfer-Encoding", "Upgrade",
}
