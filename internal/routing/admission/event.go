package admission

import "time"

// Event is something that a controller with priorities noticed, for logs and metrics. It is one of ServerHeld and ReturnedEarly.
type Event interface {
	event()
}

// ServerHeld means that the server is full and that the most urgent requests are held back for a time.
type ServerHeld struct{ For time.Duration }

// ReturnedEarly means that a caller came back before the time that it was told.
type ReturnedEarly struct{}

func (ServerHeld) event()    {}
func (ReturnedEarly) event() {}

func (c *Controller) report(event Event) {
	if c.OnEvent != nil {
		c.OnEvent(event)
	}
}
