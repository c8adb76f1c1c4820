package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"milletmast/internal/bench/procstat"
	"milletmast/internal/mesh/controlplane"
	"milletmast/internal/testcluster"
)

const (
	idleDuration       = 8 * time.Second
	clientStateBudget  = 30_000_000 // client states times the square of the proxies: at the start each state applies a change for each proxy
	minClientStates    = 3
	changeCount        = 5 // changes of an endpoint in a run
	propagationTimeout = time.Minute

	pushIdleDuration = 4 * time.Second
	changeInterval   = 400 * time.Millisecond // so that each change is pushed by itself
)

// measureFleets measures fleets of several sizes.
func measureFleets(
	ctx context.Context, t *table, programs Programs, machines int, sizes, services []int, runs, wave int, progress io.Writer,
) error {
	for run := range runs {
		for _, size := range sizes {
			begun := time.Now()
			if err := measureFleet(ctx, t, programs, machines, size, services, wave); err != nil {
				return fmt.Errorf("%d proxies: %w", size, err)
			}
			fmt.Fprintf(progress, "run %d: %d proxies: %.0f s\n", run+1, size, time.Since(begun).Seconds())
		}
		if run+1 < runs {
			t.print(progress, fmt.Sprintf("fleet, after run %d", run+1))
		}
	}
	return nil
}

// measureFleet measures one fleet of stub proxies, which start in waves, and one real proxy.
func measureFleet(ctx context.Context, t *table, programs Programs, machines, size int, services []int, wave int) error {
	c, err := newCluster(ctx, programs, machines)
	if err != nil {
		return err
	}
	defer c.stop()
	if _, _, err := c.replaceConfig(ctx, services[0]); err != nil {
		return err
	}
	add := func(name string, value float64) { t.add(name, size, value) }
	p, err := c.startProxy(ctx, "real", 1, serviceName(0))
	if err != nil {
		return err
	}
	defer p.close()

	cpu, begun := c.controlPlaneCPU(), time.Now()
	f := newStubFleet(ctx, c, size, min(size, max(clientStateBudget/size/size, minClientStates)))
	defer f.stop()
	if err := f.start(ctx, wave); err != nil {
		return err
	}
	add("start: s until all have a complete update and the configuration", time.Since(begun).Seconds())
	if err := f.waitSettled(ctx); err != nil {
		return err
	}
	add("start: connections opened for each proxy", float64(f.dials.Load())/float64(size))
	add("start: bytes to each proxy", float64(f.bytesRead.Load())/float64(size))
	if err := testcluster.Sleep(ctx, settleTime); err != nil {
		return err
	}
	add("start: control planes' processor time together, s", c.controlPlaneCPU()-cpu)

	if err := f.measureIdle(ctx, add, p); err != nil {
		return err
	}
	if err := f.measureChanges(ctx, add, p); err != nil {
		return err
	}
	for _, n := range services {
		if err := f.measurePush(ctx, add, n, p); err != nil {
			return err
		}
	}
	return f.measureReconnects(ctx, add)
}

// waitSettled waits until each control plane knows all proxies, and all pushes are acknowledged.
func (f *stubFleet) waitSettled(ctx context.Context) error {
	return waitWithin(ctx, propagationTimeout, "control planes to know all proxies", func() bool {
		for _, m := range f.cluster.machines {
			s, err := controlplane.QueryStatus(f.cluster.discoveryAddr(m), requestTimeout)
			if err != nil || len(s.Proxies) < len(f.proxies) {
				return false
			}
			for _, p := range s.Proxies {
				if p.Unreachable || p.LastAcked < p.LastPushed {
					return false
				}
			}
		}
		return true
	})
}

// measureIdle measures a fleet without changes.
func (f *stubFleet) measureIdle(ctx context.Context, add func(string, float64), p *realProxy) error {
	c, n := f.cluster, float64(len(f.proxies))
	controlBefore, storeBefore, proxy := c.controlPlaneCPU(), c.configStoreCPU(), p.process.cpu()
	bytesBefore, messagesBefore, begun := f.bytesRead.Load()+f.bytesWritten.Load(), f.messagesReceived.Load()+f.messagesSent.Load(), time.Now()
	if err := testcluster.Sleep(ctx, idleDuration); err != nil {
		return err
	}
	s := time.Since(begun).Seconds()
	machines := float64(len(c.machines))
	add("idle: a proxy's bytes/s, both ways", float64(f.bytesRead.Load()+f.bytesWritten.Load()-bytesBefore)/n/s)
	add("idle: a proxy's messages/s, both ways", float64(f.messagesReceived.Load()+f.messagesSent.Load()-messagesBefore)/n/s)
	add("idle: a control plane's processor time, % of a core", 100*(c.controlPlaneCPU()-controlBefore)/machines/s)
	add("idle: a configuration store's processor time, % of a core", 100*(c.configStoreCPU()-storeBefore)/machines/s)
	add("idle: a real proxy's processor time, % of a core", 100*(p.process.cpu()-proxy)/s)
	var memory [2]float64
	for _, m := range c.machines {
		memory[0] += m.controlPlane.memory() / machines
		memory[1] += m.configStore.memory() / machines
	}
	add("memory of a control plane, MiB", memory[0]/(1<<20))
	add("memory of a configuration store, MiB", memory[1]/(1<<20))
	add("memory of a real proxy, MiB", p.process.memory()/(1<<20))
	add("a first complete update, bytes", float64(f.maxCompleteBytes.Load()))
	return nil
}

// measureChanges measures changes of endpoints, one after the other.
func (f *stubFleet) measureChanges(ctx context.Context, add func(string, float64), p *realProxy) error {
	c, n := f.cluster, float64(len(f.proxies))
	for i := range changeCount {
		controlBefore, proxy, begun := c.controlPlaneCPU(), p.process.cpu(), time.Now()
		w := f.proxies[(i*7)%len(f.proxies)].changeEndpoint()
		atAllProxies := func() bool { return w.count() == len(f.proxies) }
		if err := waitWithin(ctx, propagationTimeout, "a change to reach all proxies", atAllProxies); err != nil {
			return err
		}
		f.awaited.Store(nil)
		d := w.delays(begun)
		add("an endpoint's change: ms to half of the proxies", quantile(d, 0.5))
		add("an endpoint's change: ms to the last proxy", d[len(d)-1])
		add("an endpoint's change: bytes to each proxy", float64(w.bytes)/n)
		if err := testcluster.Sleep(ctx, settleTime); err != nil {
			return err
		}
		add("an endpoint's change: control planes' processor time together, ms, with 1.5 s of idling", (c.controlPlaneCPU()-controlBefore)*1000)
		add("an endpoint's change: a real proxy's processor time, ms, with 1.5 s of idling", (p.process.cpu()-proxy)*1000)
	}
	return nil
}

// measurePush measures the push of a configuration of some services.
func (f *stubFleet) measurePush(ctx context.Context, add func(string, float64), services int, p *realProxy) error {
	c, n := f.cluster, float64(len(f.proxies))
	w := &propagation{configVersion: c.version + 1, arrivals: map[string]time.Time{}}
	f.awaited.Store(w)
	controlBefore, storeBefore, proxy, begun := c.controlPlaneCPU(), c.configStoreCPU(), p.process.cpu(), time.Now()
	took, tries, err := c.replaceConfig(ctx, services)
	if err != nil {
		return err
	}
	atAllProxies := func() bool { return w.count() == len(f.proxies) }
	if err := waitWithin(ctx, propagationTimeout, "a configuration to reach all proxies", atAllProxies); err != nil {
		return err
	}
	f.awaited.Store(nil)
	d := w.delays(begun)
	label := fmt.Sprintf("a configuration of %d services: ", services)
	add(label+"s to the acknowledgement", took.Seconds())
	if tries > 1 {
		add(label+"tries until it was acknowledged, where more than one", float64(tries))
	}
	add(label+"s to half of the proxies", quantile(d, 0.5)/1000)
	add(label+"s to the last proxy", d[len(d)-1]/1000)
	add(label+"bytes to each proxy", float64(w.bytes)/n)
	if err := f.waitSettled(ctx); err != nil {
		return err
	}
	add(label+"control planes' processor time together, s", c.controlPlaneCPU()-controlBefore)
	add(label+"configuration stores' processor time together, s", c.configStoreCPU()-storeBefore)
	add(label+"a real proxy's processor time to take it, ms", (p.process.cpu()-proxy)*1000)
	proxy, begun = p.process.cpu(), time.Now()
	if err := testcluster.Sleep(ctx, pushIdleDuration); err != nil {
		return err
	}
	idle := (p.process.cpu() - proxy) / time.Since(begun).Seconds()
	add(label+"a real proxy's processor time while nothing happens, % of a core", 100*idle)
	add(label+"memory of a real proxy then, MiB", p.process.memory()/(1<<20))
	proxy, begun = p.process.cpu(), time.Now()
	for i := range changeCount {
		f.proxies[(i*7)%len(f.proxies)].changeEndpoint()
		if err := testcluster.Sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	used := p.process.cpu() - proxy - idle*time.Since(begun).Seconds()
	add(label+"a real proxy's processor time for an endpoint's change, ms", used*1000/changeCount)
	return f.waitSettled(ctx)
}

// measureReconnects measures a reconnect of all proxies at once.
func (f *stubFleet) measureReconnects(ctx context.Context, add func(string, float64)) error {
	c, n := f.cluster, float64(len(f.proxies))
	updatesBefore, dials, read, controlBefore := f.completeUpdates.Load(), f.dials.Load(), f.bytesRead.Load(), c.controlPlaneCPU()
	begun, ownBefore := time.Now(), procstat.OwnCPUTime()
	f.closeConnections()
	allUpdated := func() bool { return f.completeUpdates.Load()-updatesBefore >= int64(len(f.proxies)) }
	timeoutErr := waitWithin(ctx, propagationTimeout, "complete updates after all proxies reconnected", allUpdated)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if timeoutErr == nil {
		add("all come back at once: s until all have a complete update", time.Since(begun).Seconds())
	}
	add("all come back at once: complete updates within a minute, for each proxy", float64(f.completeUpdates.Load()-updatesBefore)/n)
	add("all come back at once: the tool's own processor time, s", (procstat.OwnCPUTime() - ownBefore).Seconds())
	add("all come back at once: connections opened for each proxy", float64(f.dials.Load()-dials)/n)
	add("all come back at once: bytes to each proxy", float64(f.bytesRead.Load()-read)/n)
	add("all come back at once: control planes' processor time together, s", c.controlPlaneCPU()-controlBefore)
	var memory float64
	for _, m := range c.machines {
		memory = max(memory, m.controlPlane.memory())
	}
	add("all come back at once: memory of the largest control plane then, MiB", memory/(1<<20))
	return nil
}

// realProxy is a proxy process and the endpoint behind it, which runs in this process.
type realProxy struct {
	process      *managedProcess
	outbound     string
	control      string
	id           string
	server       *http.Server
	heartbeatSeq int
	service      string
	address      string
}

// startProxy starts a real proxy with an endpoint of a service, on an address of its own, and waits until it serves.
func (c *cluster) startProxy(ctx context.Context, name string, host int, service string) (*realProxy, error) {
	ip := fmt.Sprintf("127.%d.1.%d", c.subnet, host)
	path, err := c.writeSettings(name, ip, 0, service)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, c.port-10-n) }
	p := &realProxy{outbound: at(2), control: at(0), id: "i-" + name, service: service, address: at(4)}
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, Failed.Wrap(err, "endpoint")
	}
	p.server = &http.Server{Handler: newEndpointHandler(p.id), ReadHeaderTimeout: requestTimeout}
	go func() { _ = p.server.Serve(ln) }() // ends with http.ErrServerClosed
	if p.process, err = startProcess(c.programs, "proxy", path); err != nil {
		p.server.Close()
		return nil, err
	}
	c.proxies = append(c.proxies, p.process)
	if err := waitFor(ctx, "a proxy to be ready and to accept its endpoint's heartbeat", func() bool {
		return c.isReady("http://"+at(3)+"/api/readiness") && p.sendHeartbeat(ctx, c) == nil
	}); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// close closes the endpoint. The process ends with the cluster.
func (p *realProxy) close() { p.server.Close() }

// isReady reports whether a proxy is ready.
func (c *cluster) isReady(url string) bool {
	r, err := c.client.Get(url)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
