package request

// Arrival is what a router knows of whether an attempt arrived at its endpoint.
type Arrival uint8

const (
	// ArrivalNotSent: nothing was written to a connection.
	ArrivalNotSent Arrival = iota
	// ArrivalAnswered: the endpoint answered.
	ArrivalAnswered
	// ArrivalBroken: the connection broke without an answer. The attempt arrived or never will.
	ArrivalBroken
	// ArrivalPending: there is no answer, and the attempt may still arrive.
	ArrivalPending
)

// String implements fmt.Stringer.
func (a Arrival) String() string {
	switch a {
	case ArrivalAnswered:
		return "answered"
	case ArrivalBroken:
		return "connection broke"
	case ArrivalPending:
		return "may still arrive"
	}
	return "not sent"
}
