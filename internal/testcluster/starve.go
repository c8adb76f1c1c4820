package testcluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

// maxBurners bounds the competing processes of one starved process.
const maxBurners = 16

// Starve leaves a process about 1/(others+1) of one core: all of its threads are bound to one core that so many other processes keep
// busy. The function that it returns ends that.
func (r *Cluster) Starve(p *Process, others int) (func(), error) {
	if others < 1 || others > maxBurners {
		return nil, fmt.Errorf("%s: %d workers: from 1 to %d are possible", p.Name, others, maxBurners)
	}
	var all unix.CPUSet
	if err := unix.SchedGetaffinity(p.Pid(), &all); err != nil {
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	var one unix.CPUSet
	one.Set(nthCore(&all, p.Pid()%max(all.Count(), 1)))
	if err := setAffinity(p.Pid(), &one); err != nil {
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	var burners []*Process
	end := func() {
		for _, b := range burners {
			b.Kill()
		}
		if p.IsRunning() {
			_ = setAffinity(p.Pid(), &all) // fails if it has just ended
		}
	}
	for i := range others {
		b, err := r.Start(ProcessSpec{Name: fmt.Sprintf("%s-burn-%d", p.Name, i), Role: roleBurn})
		if err != nil {
			end()
			return nil, err
		}
		burners = append(burners, b)
		if err := setAffinity(b.Pid(), &one); err != nil {
			end()
			return nil, fmt.Errorf("%s: %w", b.Name, err)
		}
	}
	return end, nil
}

// maxCores bounds the numbers of cores in a CPUSet.
const maxCores = 1024

// nthCore returns the n-th core of a set, from 0; -1 for none.
func nthCore(set *unix.CPUSet, n int) int {
	for core := range maxCores {
		if set.IsSet(core) {
			if n == 0 {
				return core
			}
			n--
		}
	}
	return -1
}

// setAffinity binds all threads of a process to a set of cores. Threads that they start inherit it.
func setAffinity(pid int, set *unix.CPUSet) error {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/[0-9]*", pid))
	if err != nil {
		return err
	}
	if len(tasks) == 0 {
		return os.ErrProcessDone
	}
	for _, t := range tasks {
		if tid, err := strconv.Atoi(filepath.Base(t)); err == nil {
			if err := unix.SchedSetaffinity(tid, set); err != nil && !errors.Is(err, unix.ESRCH) {
				return err
			}
		}
	}
	return nil
}
