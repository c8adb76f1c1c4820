package keeper

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"whinknot/internal/logbook"
	"whinknot/internal/tide"
)

const (
	diskRecord  = "disk"  // the name of the disk
	epochRecord = "epoch" // the set of disks gone by
	headPrefix  = "head/" // what was promised and accepted for a key
	valuePrefix = "value/"
	oldSet      = "set" // of an earlier program
)

// accepted is a value on disk: by itself, as it may be long and a promise does not change it.
type accepted struct {
	At    tide.Ballot
	Value tide.Value
}

// disk is what a keeper keeps.
type disk struct {
	book   *logbook.Book
	values map[string]tide.Ballot // by key, at what ballot the value on disk was accepted
}

// keep has registers and a set on disk, all or none, when it returns.
func (d *disk) keep(registers []tide.Register, set *tide.Set) error {
	return d.write(map[string]any{}, registers, set)
}

// write is keep with some records more.
func (d *disk) write(records map[string]any, registers []tide.Register, set *tide.Set) error {
	for _, r := range registers {
		records[headPrefix+r.Key] = r.Head
		if r.Accepted != (tide.Ballot{}) && d.values[r.Key] != r.Accepted {
			records[valuePrefix+r.Key] = accepted{r.Accepted, r.Value}
		}
	}
	if set != nil {
		records[epochRecord] = *set
	}
	if len(records) == 0 {
		return nil
	}
	if err := d.book.PutAll(records); err != nil {
		return err
	}
	for _, r := range registers {
		d.values[r.Key] = r.Accepted
	}
	return nil
}

// held reads registers and the set from a disk; before tells that an earlier program has left them.
func held(book *logbook.Book) (registers []tide.Register, set tide.Set, before bool, err error) {
	values := map[string]accepted{}
	err = book.Records(valuePrefix, func(name string, decode func(any) error) error {
		var a accepted
		err := decode(&a)
		values[strings.TrimPrefix(name, valuePrefix)] = a
		return err
	})
	if err != nil {
		return nil, set, false, err
	}
	err = book.Records(headPrefix, func(name string, decode func(any) error) error {
		var r tide.Register
		if err := decode(&r.Head); err != nil {
			return err
		}
		v := values[r.Key]
		if v.At != r.Accepted || name != headPrefix+r.Key {
			return logbook.Spoilt.New("%s: its value is not what was accepted", name)
		}
		r.Value = v.Value
		registers = append(registers, r)
		return nil
	})
	if err != nil {
		return nil, set, false, err
	}
	if known, err := book.Get(epochRecord, &set); err != nil || known {
		return registers, set, false, err
	}
	registers, set, err = heldBefore(book)
	return registers, set, true, err
}

// earlier is one version of a key as an earlier program kept it.
type earlier struct {
	Stamp tide.Stamp
	Body  []byte
}

// heldBefore reads what an earlier program kept: versions by their numbers, without ballots, and a set with a number. The newest of
// what a majority tells is the highest ballot then, as it was the highest number before.
func heldBefore(book *logbook.Book) (registers []tide.Register, set tide.Set, err error) {
	var old struct {
		Number  uint64
		Members []tide.Member
	}
	if known, err := book.Get(oldSet, &old); err != nil || !known {
		return nil, set, err
	}
	err = book.Before(func(key string, decode func(any) error) error {
		var e earlier
		if err := decode(&e); err != nil {
			return err
		}
		at := tide.Ballot{Round: e.Stamp.Number, Disk: fmt.Sprintf("%s %016x", e.Stamp.By, tide.Sum(e.Body))}
		registers = append(registers, tide.Register{Head: tide.Head{Key: key, Promised: at, Accepted: at}, Value: tide.Value{Stamp: e.Stamp, Body: e.Body}})
		return nil
	})
	return registers, tide.Set{Epoch: old.Number, Members: old.Members}, err
}

// recall reads what the disk holds, and gives an empty one its name. One that was lost is none of the first set's, whatever the settings
// say: its name would vouch for what it held.
func (k *Keeper) recall(lost bool) (registers []tide.Register, set tide.Set, me tide.Member, err error) {
	me = tide.Member{Node: k.s.Node, Addr: Address(k.s.IP, k.s), Zone: k.s.Zone, Counts: k.s.InQuorum}
	registers, set, before, err := held(k.disk.book)
	if err != nil {
		return nil, set, me, Start.Wrap(err, "registers")
	}
	known, err := k.disk.book.Get(diskRecord, &me.Disk)
	if err != nil {
		return nil, set, me, Start.Wrap(err, "name of the disk")
	}
	for _, r := range registers {
		k.disk.values[r.Key] = r.Accepted
	}
	if !known {
		me.Disk = fmt.Sprintf("%s#%016x", k.s.IP, rand.Uint64())
		if k.s.Bootstrap && !lost {
			set = k.found(&me)
		}
		if err := k.disk.write(map[string]any{diskRecord: me.Disk}, nil, &set); err != nil {
			return nil, set, me, Start.Wrap(err, "name of the disk")
		}
	} else if before { // in the form of this program from now on
		clear(k.disk.values)
		if err := k.disk.keep(registers, &set); err != nil {
			return nil, set, me, Start.Wrap(err, "registers")
		}
	}
	k.log.Info().Str("disk", me.Disk).Bool("empty", !known).Uint64("epoch", set.Epoch).Int("registers", len(registers)).Msg("disk opened")
	return registers, set, me, nil
}

// found makes the first set: the machines that all processes are told of at the very first start, one less if their number is even.
// Their disks have names that all know then, and that no disk is ever given again.
func (k *Keeper) found(me *tide.Member) tide.Set {
	first := tide.Set{Epoch: 1}
	ips := slices.Sorted(slices.Values(k.s.SeedIPs()))
	if n := len(ips); n > 0 && n%2 == 0 {
		ips = ips[:n-1]
	}
	for _, ip := range ips {
		if ip == k.s.IP {
			me.Disk = ip + "#first"
		}
		first.Members = append(first.Members, tide.Member{Disk: ip + "#first", Addr: Address(ip, k.s)})
	}
	return first
}
