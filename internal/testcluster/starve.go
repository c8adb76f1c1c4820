package testcluster

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"golang.org/x/sys/unix"
)

// maxBurners bounds the processes that compete with a starved one.
const maxBurners = 16

// Starve leaves a process about 1/(burnerCount+1) of one core: all of its threads are bound to one core that this many other processes
// keep busy. The returned function ends the starvation.
func (r *Cluster) Starve(p *Process, burnerCount int) (func(), error) {
	if burnerCount < 1 || burnerCount > maxBurners {
		return nil, fmt.Errorf("starve %s: %d competing processes, want 1 to %d", p.Name, burnerCount, maxBurners)
	}
	var originalCores unix.CPUSet
	if err := unix.SchedGetaffinity(p.Pid(), &originalCores); err != nil {
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	var core unix.CPUSet
	core.Set(nthCore(&originalCores, p.Pid()%max(originalCores.Count(), 1)))
	if err := setAffinity(p.Pid(), &core); err != nil {
		return nil, fmt.Errorf("%s: %w", p.Name, err)
	}
	var burners []*Process
	end := func() {
		for _, b := range burners {
			b.Kill()
		}
		if p.IsRunning() {
			_ = setAffinity(p.Pid(), &originalCores) // fails if it has just ended
		}
	}
	for i := range burnerCount {
		b, err := r.Start(ProcessSpec{Name: fmt.Sprintf("%s-burn-%d", p.Name, i), Role: roleBurn})
		if err != nil {
			end()
			return nil, err
		}
		burners = append(burners, b)
		if err := setAffinity(b.Pid(), &core); err != nil {
			end()
			return nil, fmt.Errorf("%s: %w", b.Name, err)
		}
	}
	return end, nil
}

// maxCores is the number of cores in a CPUSet.
const maxCores = 1024

// nthCore returns the n-th core of a set, counted from 0; -1 for none.
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
