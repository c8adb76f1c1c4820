package capacity

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"whinknot/internal/lighthouse"
)

const (
	idleTime   = 8 * time.Second
	roomsWork  = 30_000_000 // rooms by the square of the pilots: each of so many changes at a start costs a room its whole picture
	roomsLeast = 3
	changes    = 5 // of one endpoint, in a run
	spreadTime = time.Minute

	servicesTime = 4 * time.Second
	changeEvery  = 400 * time.Millisecond // so that each is pushed and taken by itself
)

// fleets measures fleets of several sizes.
func fleets(ctx context.Context, t *table, programs Programs, machines int, sizes, services []int, runs, wave int, progress io.Writer) error {
	for run := range runs {
		for _, size := range sizes {
			begun := time.Now()
			if err := fleet(ctx, t, programs, machines, size, services, wave); err != nil {
				return fmt.Errorf("%d pilots: %w", size, err)
			}
			fmt.Fprintf(progress, "run %d: %d pilots: %.0f s\n", run+1, size, time.Since(begun).Seconds())
		}
		if run+1 < runs {
			t.print(progress, fmt.Sprintf("fleet, after run %d", run+1))
		}
	}
	return nil
}

// fleet measures one fleet: hollow pilots, so many of which start at once, and a real one among them.
func fleet(ctx context.Context, t *table, programs Programs, machines, size int, services []int, wave int) error {
	c, err := newCore(ctx, programs, machines)
	if err != nil {
		return err
	}
	defer c.end()
	if _, _, err := c.order(ctx, services[0]); err != nil {
		return err
	}
	add := func(name string, value float64) { t.add(name, size, value) }
	p, err := c.pilot(ctx, "real", 1, service(0))
	if err != nil {
		return err
	}
	defer p.close()

	cpu, begun := c.lighthouses(), time.Now()
	f := newHollows(ctx, c, size, min(size, max(roomsWork/size/size, roomsLeast)))
	defer f.end()
	if err := f.begin(ctx, wave); err != nil {
		return err
	}
	add("start: s until all have a picture and the configuration", time.Since(begun).Seconds())
	if err := f.quiet(ctx); err != nil {
		return err
	}
	add("start: connections opened for each pilot", float64(f.dials.Load())/float64(size))
	add("start: bytes to each pilot", float64(f.read.Load())/float64(size))
	if err := pause(ctx, settle); err != nil {
		return err
	}
	add("start: lighthouses' processor time together, s", c.lighthouses()-cpu)

	if err := f.idle(ctx, add, p); err != nil {
		return err
	}
	if err := f.changes(ctx, add, p); err != nil {
		return err
	}
	for _, n := range services {
		if err := f.push(ctx, add, n, p); err != nil {
			return err
		}
	}
	return f.again(ctx, add)
}

// quiet waits until each lighthouse knows all pilots, and all that was pushed is acknowledged.
func (f *hollows) quiet(ctx context.Context) error {
	return within(ctx, spreadTime, "lighthouses that know all pilots", func() bool {
		for _, m := range f.core.machines {
			s, err := lighthouse.AskStatus(f.core.lighthouse(m), askTime)
			if err != nil || len(s.Pilots) < len(f.pilots) {
				return false
			}
			for _, p := range s.Pilots {
				if p.Dark || p.Acked < p.Pushed {
					return false
				}
			}
		}
		return true
	})
}

// idle measures a fleet in which nothing happens.
func (f *hollows) idle(ctx context.Context, add func(string, float64), p *realPilot) error {
	c, n := f.core, float64(len(f.pilots))
	lights, keeps, pilot := c.lighthouses(), c.keepers(), p.child.cpu()
	read, written, heard, said, begun := f.read.Load(), f.written.Load(), f.heard.Load(), f.said.Load(), time.Now()
	if err := pause(ctx, idleTime); err != nil {
		return err
	}
	s := time.Since(begun).Seconds()
	machines := float64(len(c.machines))
	add("idle: a pilot's bytes/s, both ways", float64(f.read.Load()-read+f.written.Load()-written)/n/s)
	add("idle: a pilot's messages/s, both ways", float64(f.heard.Load()-heard+f.said.Load()-said)/n/s)
	add("idle: a lighthouse's processor time, % of a core", 100*(c.lighthouses()-lights)/machines/s)
	add("idle: a keeper's processor time, % of a core", 100*(c.keepers()-keeps)/machines/s)
	add("idle: a real pilot's processor time, % of a core", 100*(p.child.cpu()-pilot)/s)
	var memory [2]float64
	for _, m := range c.machines {
		memory[0] += m.lighthouse.memory() / machines
		memory[1] += m.keeper.memory() / machines
	}
	add("memory of a lighthouse, MiB", memory[0]/(1<<20))
	add("memory of a keeper, MiB", memory[1]/(1<<20))
	add("memory of a real pilot, MiB", p.child.memory()/(1<<20))
	add("a first picture, bytes", float64(f.wholeMost.Load()))
	return nil
}

// changes measures endpoints' changes, one after the other.
func (f *hollows) changes(ctx context.Context, add func(string, float64), p *realPilot) error {
	c, n := f.core, float64(len(f.pilots))
	for i := range changes {
		lights, pilot, begun := c.lighthouses(), p.child.cpu(), time.Now()
		w := f.pilots[(i*7)%len(f.pilots)].change()
		if err := within(ctx, spreadTime, "a change at all pilots", func() bool { return w.count() == len(f.pilots) }); err != nil {
			return err
		}
		f.watch.Store(nil)
		d := w.delays(begun)
		add("an endpoint's change: ms to half of the pilots", quantile(d, 0.5))
		add("an endpoint's change: ms to the last pilot", d[len(d)-1])
		add("an endpoint's change: bytes to each pilot", float64(w.bytes)/n)
		if err := pause(ctx, settle); err != nil {
			return err
		}
		add("an endpoint's change: lighthouses' processor time together, ms, with 1.5 s of idling", (c.lighthouses()-lights)*1000)
		add("an endpoint's change: a real pilot's processor time, ms, with 1.5 s of idling", (p.child.cpu()-pilot)*1000)
	}
	return nil
}

// push measures a configuration of so many services.
func (f *hollows) push(ctx context.Context, add func(string, float64), services int, p *realPilot) error {
	c, n := f.core, float64(len(f.pilots))
	w := &expected{config: c.version + 1, at: map[string]time.Time{}}
	f.watch.Store(w)
	lights, keeps, pilot, begun := c.lighthouses(), c.keepers(), p.child.cpu(), time.Now()
	took, tries, err := c.order(ctx, services)
	if err != nil {
		return err
	}
	if err := within(ctx, spreadTime, "a configuration at all pilots", func() bool { return w.count() == len(f.pilots) }); err != nil {
		return err
	}
	f.watch.Store(nil)
	d := w.delays(begun)
	of := fmt.Sprintf("a configuration of %d services: ", services)
	add(of+"s to the acknowledgement", took.Seconds())
	if tries > 1 {
		add(of+"tries until it was acknowledged, where more than one", float64(tries))
	}
	add(of+"s to half of the pilots", quantile(d, 0.5)/1000)
	add(of+"s to the last pilot", d[len(d)-1]/1000)
	add(of+"bytes to each pilot", float64(w.bytes)/n)
	if err := f.quiet(ctx); err != nil {
		return err
	}
	add(of+"lighthouses' processor time together, s", c.lighthouses()-lights)
	add(of+"keepers' processor time together, s", c.keepers()-keeps)
	add(of+"a real pilot's processor time to take it, ms", (p.child.cpu()-pilot)*1000)
	pilot, begun = p.child.cpu(), time.Now()
	if err := pause(ctx, servicesTime); err != nil {
		return err
	}
	idle := (p.child.cpu() - pilot) / time.Since(begun).Seconds()
	add(of+"a real pilot's processor time while nothing happens, % of a core", 100*idle)
	add(of+"memory of a real pilot then, MiB", p.child.memory()/(1<<20))
	pilot, begun = p.child.cpu(), time.Now()
	for i := range changes {
		f.pilots[(i*7)%len(f.pilots)].change()
		if err := pause(ctx, changeEvery); err != nil {
			return err
		}
	}
	add(of+"a real pilot's processor time for an endpoint's change, ms", (p.child.cpu()-pilot-idle*time.Since(begun).Seconds())*1000/changes)
	return f.quiet(ctx)
}

// again measures all pilots coming back at once.
func (f *hollows) again(ctx context.Context, add func(string, float64)) error {
	c, n := f.core, float64(len(f.pilots))
	wholes, dials, read, lights := f.wholes.Load(), f.dials.Load(), f.read.Load(), c.lighthouses()
	begun, tool := time.Now(), own()
	f.cut()
	late := within(ctx, spreadTime, "pictures after all came back", func() bool { return f.wholes.Load()-wholes >= int64(len(f.pilots)) })
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if late == nil {
		add("all come back at once: s until all have a picture", time.Since(begun).Seconds())
	}
	add("all come back at once: pictures within a minute, for each pilot", float64(f.wholes.Load()-wholes)/n)
	add("all come back at once: the tool's own processor time, s", own()-tool)
	add("all come back at once: connections opened for each pilot", float64(f.dials.Load()-dials)/n)
	add("all come back at once: bytes to each pilot", float64(f.read.Load()-read)/n)
	add("all come back at once: lighthouses' processor time together, s", c.lighthouses()-lights)
	var memory float64
	for _, m := range c.machines {
		memory = max(memory, m.lighthouse.memory())
	}
	add("all come back at once: memory of the largest lighthouse then, MiB", memory/(1<<20))
	return nil
}

// realPilot is a real pilot, and an endpoint beside it.
type realPilot struct {
	child    *child
	outbound string
	control  string
	id       string
	server   *http.Server
	seq      int
	service  string
	address  string
}

// pilot starts a real pilot with an endpoint of a service, on an address of its own, and waits until it serves.
func (c *core) pilot(ctx context.Context, name string, host int, service string) (*realPilot, error) {
	ip := fmt.Sprintf("127.%d.1.%d", c.net, host)
	path, err := c.settings(name, ip, 0, service)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, c.port-10-n) }
	p := &realPilot{outbound: at(2), control: at(0), id: "i-" + name, service: service, address: at(4)}
	ln, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, Failed.Wrap(err, "endpoint")
	}
	p.server = &http.Server{Handler: endpoint(p.id), ReadHeaderTimeout: askTime}
	go p.server.Serve(ln)
	if p.child, err = begin(c.programs, "pilot", path); err != nil {
		p.server.Close()
		return nil, err
	}
	c.others = append(c.others, p.child)
	if err := until(ctx, "a pilot that is ready, and has taken its endpoint's beat", func() bool {
		return c.ready("http://"+at(3)+"/api/readiness") && p.beat(ctx, c) == nil
	}); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// close ends the endpoint; the process ends with the core.
func (p *realPilot) close() { p.server.Close() }

// ready asks whether a pilot is ready.
func (c *core) ready(url string) bool {
	r, err := c.client.Get(url)
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}
