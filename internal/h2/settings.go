package h2

import (
	"golang.org/x/net/http2"
)

// handleSettings applies the settings of the peer and acknowledges them.
func (c *Conn) handleSettings(f *http2.SettingsFrame) error {
	if f.IsAck() {
		return nil
	}
	if f.NumSettings() > maxSettings {
		return newConnError(http2.ErrCodeEnhanceYourCalm, "too many settings")
	}
	if err := f.ForeachSetting(c.applySetting); err != nil {
		return err
	}
	c.queueControl(func(f *http2.Framer) error { return f.WriteSettingsAck() })
	return c.spendBudget(2)
}

const (
	maxSettings        = 32   // of one SETTINGS frame
	maxHeaderTableSize = 4096 // bytes; the initial value in RFC 9113, section 6.5.2
)

func (c *Conn) applySetting(setting http2.Setting) error {
	if err := setting.Valid(); err != nil {
		return newConnError(http2.ErrCodeProtocol, "a setting cannot be")
	}
	switch setting.ID {
	case http2.SettingInitialWindowSize:
		return c.setInitialWindow(int64(setting.Val))
	case http2.SettingMaxFrameSize:
		c.peerMaxFrameSize = int(min(setting.Val, maxFrameSize))
	case http2.SettingMaxConcurrentStreams:
		c.peerMaxStreams = setting.Val
	case http2.SettingHeaderTableSize:
		c.peerHeaderTableSize, c.headerTableChanged = min(setting.Val, maxHeaderTableSize), true
	}
	return nil
}

// setInitialWindow changes the window of new streams, and those of open ones by the difference (RFC 9113, section 6.9.2).
func (c *Conn) setInitialWindow(size int64) error {
	difference := size - c.peerInitialWindow
	c.peerInitialWindow = size
	for _, s := range c.streams {
		if s.sendWindow += difference; s.sendWindow > maxWindow {
			return newConnError(http2.ErrCodeFlowControl, "a window is over the limit")
		}
		c.scheduleWrite(s)
	}
	for _, s := range c.waiting {
		s.sendWindow += difference
	}
	return nil
}

// handleWindowUpdate opens the window of a stream or of the connection.
func (c *Conn) handleWindowUpdate(f *http2.WindowUpdateFrame) error {
	if f.StreamID == 0 {
		if c.sendWindow += int64(f.Increment); c.sendWindow > maxWindow {
			return newConnError(http2.ErrCodeFlowControl, "a window is over the limit")
		}
		c.writable = append(c.writable, c.blocked...)
		c.blocked = c.blocked[:0]
		c.wakeWriter()
	} else if s := c.streams[f.StreamID]; s != nil {
		if s.sendWindow += int64(f.Increment); s.sendWindow > maxWindow {
			c.resetStream(s, http2.ErrCodeFlowControl)
			return c.spendBudget(1)
		}
		c.scheduleWrite(s)
	} else if c.isIdleStream(f.StreamID) {
		return newConnError(http2.ErrCodeProtocol, "WINDOW_UPDATE of a stream that nobody opened")
	}
	return c.spendBudget(1)
}
