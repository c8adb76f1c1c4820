package agent

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"whinknot/internal/control/agentpb"
)

// reads are the methods that the role read may call; all others need operate.
var reads = map[string]bool{"List": true, "Config": true, "Events": true}

// Roles, as organizational units of a client's certificate.
const (
	RoleRead    = "read"
	RoleOperate = "operate"
)

type callerKey struct{}

// guard lets a call through by the role in the caller's certificate. On a Unix socket the file's mode has decided.
func (a *Agent) guard(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	who := "local"
	if a.tls != nil {
		name, roles, err := identity(ctx)
		if err != nil {
			return nil, status.Error(codes.Unauthenticated, err.Error())
		}
		method := info.FullMethod[strings.LastIndexByte(info.FullMethod, '/')+1:]
		if !roles[RoleOperate] && !(roles[RoleRead] && reads[method]) {
			a.log(name, "was denied "+method)
			return nil, status.Errorf(codes.PermissionDenied, "%s may not call %s: its certificate has no such role", name, method)
		}
		who = name
	}
	return next(context.WithValue(ctx, callerKey{}, who), req)
}

// identity reads name and roles from the certificate of the peer.
func identity(ctx context.Context) (name string, roles map[string]bool, err error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", nil, errors.New("no peer")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return "", nil, errors.New("no verified certificate")
	}
	subject := info.State.VerifiedChains[0][0].Subject
	roles = map[string]bool{}
	for _, r := range subject.OrganizationalUnit {
		roles[r] = true
	}
	return subject.CommonName, roles, nil
}

func who(ctx context.Context) string {
	if name, ok := ctx.Value(callerKey{}).(string); ok {
		return name
	}
	return "unknown"
}

func fault(err error) error {
	if errors.Is(err, ErrFenced) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Internal, err.Error())
}

func (a *Agent) member(name string) (*member, error) {
	if m := a.byName[name]; m != nil {
		return m, nil
	}
	return nil, status.Errorf(codes.NotFound, "agent %s has no instance %q", a.cfg.Name, name)
}

func told(l Ledger) *agentpb.Ledger {
	return &agentpb.Ledger{
		Rollout: l.Rollout, Epoch: l.Epoch, Target: l.Target, Command: l.Command, Ended: l.Ended, Plan: l.Plan,
	}
}

// List tells what the agent knows of its instances; with fresh it asks them first.
func (a *Agent) List(ctx context.Context, req *agentpb.ListRequest) (*agentpb.ListReply, error) {
	out := &agentpb.ListReply{Agent: a.cfg.Name, Site: a.cfg.Site}
	list := a.members
	if req.Name != "" {
		m, err := a.member(req.Name)
		if err != nil {
			return nil, err
		}
		list = []*member{m}
	}
	if req.Fresh {
		var all sync.WaitGroup
		slots := make(chan struct{}, asksAtOnce)
		for _, m := range list {
			slots <- struct{}{}
			all.Go(func() {
				m.look(ctx)
				<-slots
			})
		}
		all.Wait()
	}
	for _, m := range list {
		out.Members = append(out.Members, m.tell())
	}
	l, err := a.store.Ledger()
	if err != nil {
		return nil, fault(err)
	}
	out.Ledger = told(l)
	return out, nil
}

// Claim makes a tool the one that may change things here.
func (a *Agent) Claim(ctx context.Context, req *agentpb.ClaimRequest) (*agentpb.ClaimReply, error) {
	l, err := a.store.Claim(req.Rollout, req.Target, req.Plan, req.Epoch)
	if err != nil {
		return nil, fault(err)
	}
	a.log(who(ctx), fmt.Sprintf("claimed rollout %s, epoch %d, target %s", l.Rollout, l.Epoch, short(l.Target)))
	return &agentpb.ClaimReply{Ledger: told(l)}, nil
}

// Command leaves a command for the tool that runs the rollout.
func (a *Agent) Command(ctx context.Context, req *agentpb.CommandRequest) (*agentpb.ClaimReply, error) {
	// Behind a colon the tool adds what makes a command another one than the same before.
	switch kind, _, _ := strings.Cut(req.Command, ":"); kind {
	case "pause", "resume", "abort", "rollback":
	default:
		return nil, status.Errorf(codes.InvalidArgument, "%q is no command", req.Command)
	}
	l, err := a.store.Command(req.Rollout, req.Command)
	if err != nil {
		return nil, fault(err)
	}
	a.log(who(ctx), req.Command+" of rollout "+req.Rollout)
	return &agentpb.ClaimReply{Ledger: told(l)}, nil
}

// End ends a rollout.
func (a *Agent) End(ctx context.Context, req *agentpb.EndRequest) (*agentpb.ClaimReply, error) {
	l, err := a.store.End(req.Rollout, req.Epoch, req.Result)
	if err != nil {
		return nil, fault(err)
	}
	a.log(who(ctx), "rollout "+req.Rollout+" ended: "+req.Result)
	return &agentpb.ClaimReply{Ledger: told(l)}, nil
}

// Change has one instance take a configuration, for the tool that owns the ledger.
func (a *Agent) Change(ctx context.Context, req *agentpb.ChangeRequest) (*agentpb.ChangeReply, error) {
	m, err := a.member(req.Name)
	if err != nil {
		return nil, err
	}
	if err := a.store.Fence(req.Rollout, req.Epoch); err != nil {
		return nil, fault(err)
	}
	text := req.Config
	if len(text) == 0 {
		if text, err = a.store.Config(req.Hash); err != nil || len(text) == 0 {
			return nil, status.Errorf(codes.NotFound, "agent %s holds no configuration %s", a.cfg.Name, short(req.Hash))
		}
	}
	a.log(who(ctx), fmt.Sprintf("changes %s, rollout %s", req.Name, req.Rollout))
	return a.changed(m, func() (string, error) { return m.change(ctx, text, req.Rollout) })
}

func (a *Agent) changed(m *member, f func() (string, error)) (*agentpb.ChangeReply, error) {
	refused, err := f()
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "%s: %v", m.spec.Name, err)
	}
	return &agentpb.ChangeReply{Member: m.tell(), Refused: refused}, nil
}

// desired finds an instance and what it is to hold.
func (a *Agent) desired(name string) (m *member, d Desired, err error) {
	if m, err = a.member(name); err != nil {
		return nil, d, err
	}
	if d, err = a.store.Desired(m.spec.Name); err != nil {
		return nil, d, fault(err)
	}
	return m, d, nil
}

// Config gives the text that is held for an instance, or under a hash.
func (a *Agent) Config(_ context.Context, req *agentpb.ConfigRequest) (*agentpb.ConfigReply, error) {
	hash := req.Hash
	if hash == "" {
		_, d, err := a.desired(req.Name)
		if err != nil {
			return nil, err
		}
		hash = d.Hash
	}
	text, err := a.store.Config(hash)
	if err != nil {
		return nil, fault(err)
	}
	if len(text) == 0 {
		return nil, status.Errorf(codes.NotFound, "agent %s holds no configuration %q", a.cfg.Name, short(hash))
	}
	return &agentpb.ConfigReply{Config: text, Hash: hash}, nil
}

// Drain has an instance say that it is not ready, or that it is again.
func (a *Agent) Drain(ctx context.Context, req *agentpb.MemberDrainRequest) (*agentpb.ChangeReply, error) {
	m, err := a.member(req.Name)
	if err != nil {
		return nil, err
	}
	a.log(who(ctx), fmt.Sprintf("drain of %s: %v", req.Name, req.Drain))
	return a.changed(m, func() (string, error) {
		ctx, cancel := context.WithTimeout(ctx, askTime)
		defer cancel()
		st, err := m.client.Drain(ctx, req.Drain)
		m.hear(st, err)
		return "", err
	})
}

// Pin keeps a level of reduced service of a pool in force at an instance, or releases it.
func (a *Agent) Pin(ctx context.Context, req *agentpb.MemberPinRequest) (*agentpb.ChangeReply, error) {
	m, err := a.member(req.Name)
	if err != nil {
		return nil, err
	}
	pin := req.GetPin()
	ttl := time.Duration(pin.GetForMs()) * time.Millisecond
	if pin.GetLevel() == "" {
		a.log(who(ctx), fmt.Sprintf("release of the level of pool %s at %s", pin.GetPool(), req.Name))
	} else {
		a.log(who(ctx), fmt.Sprintf("pin of level %s of pool %s at %s for %v", pin.GetLevel(), pin.GetPool(), req.Name, ttl))
	}
	return a.changed(m, func() (string, error) {
		ctx, cancel := context.WithTimeout(ctx, askTime)
		defer cancel()
		reply, err := m.client.Pin(ctx, pin.GetPool(), pin.GetLevel(), ttl)
		m.hear(reply.GetStatus(), err)
		return reply.GetRefused(), err
	})
}

// Reload has an instance take the configuration that is held for it once more.
func (a *Agent) Reload(ctx context.Context, req *agentpb.MemberRequest) (*agentpb.ChangeReply, error) {
	m, d, err := a.desired(req.Name)
	if err != nil {
		return nil, err
	}
	text, err := a.store.Config(d.Hash)
	if err != nil || len(text) == 0 {
		return nil, status.Errorf(codes.FailedPrecondition, "no configuration is held for %s", req.Name)
	}
	a.log(who(ctx), "reload of "+req.Name)
	return a.changed(m, func() (string, error) {
		m.changing.Lock()
		defer m.changing.Unlock()
		reply, err := m.apply(ctx, text)
		return reply.GetRefused(), err
	})
}

// Events gives lines of the audit log.
func (a *Agent) Events(_ context.Context, req *agentpb.EventsRequest) (*agentpb.EventsReply, error) {
	most := int(req.Most)
	if most < 1 || most > 1000 {
		most = 1000
	}
	list, err := a.store.Events(req.After, most)
	if err != nil {
		return nil, fault(err)
	}
	out := &agentpb.EventsReply{}
	for _, e := range list {
		out.Entries = append(out.Entries, &agentpb.Entry{Number: e.Number, AtMs: e.At.UnixMilli(), Who: e.Who, What: e.What})
	}
	return out, nil
}
