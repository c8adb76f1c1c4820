package transport

// Deferred builds a queued message when it is about to be sent, as its content may have changed while
// it was queued. The goroutine of the outbox calls it once; nil means that there is nothing to send.
type Deferred func() any

// Outbox is the send queue of a connection, so that a sender never blocks.
type Outbox struct {
	conn  *Conn
	queue chan any
}

// NewOutbox returns an outbox that holds up to capacity unsent messages.
func NewOutbox(c *Conn, capacity int) *Outbox { return &Outbox{c, make(chan any, capacity)} }

// Send queues a message. A full queue means that the peer is too slow: the connection is closed, and
// Send returns false.
func (o *Outbox) Send(message any) bool {
	select {
	case o.queue <- message:
		return true
	default:
		o.conn.Close()
		return false
	}
}

// Run sends the queued messages until the connection is closed.
func (o *Outbox) Run() {
	for {
		select {
		case <-o.conn.done.Done():
			return
		case m := <-o.queue:
			if deferred, ok := m.(Deferred); ok {
				if m = deferred(); m == nil {
					continue
				}
			}
			if o.conn.Send(m) != nil {
				return
			}
		}
	}
}
