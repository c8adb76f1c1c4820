package procstat

import (
	"errors"
	"io/fs"
	"math"
	"os"
	"testing"
	"time"
)

// noProcess is beyond the greatest process id that Linux allows (2^22).
const noProcess = math.MaxInt32

func TestOwnProcess(t *testing.T) {
	before := OwnCPUTime()
	memory := make([]byte, 32<<20)
	for end := time.Now().Add(30 * time.Millisecond); time.Now().Before(end); {
		for i := range memory {
			memory[i]++
		}
	}
	if used := OwnCPUTime() - before; used <= 0 {
		t.Errorf("own processor time of work is %v", used)
	}
	used, err := CPUTime(os.Getpid())
	if err != nil || used <= 0 || used > time.Hour {
		t.Errorf("processor time %v, %v", used, err)
	}
	bytes, err := AnonymousMemory(os.Getpid())
	if err != nil || bytes < int64(len(memory)) || bytes > 1<<34 {
		t.Errorf("%d bytes of memory, of which %d are written, %v", bytes, len(memory), err)
	}
	if memory[0] == 0 && memory[1] != 0 {
		t.Error("the memory was not written evenly")
	}
}

func TestProcessThatDoesNotExist(t *testing.T) {
	if used, err := CPUTime(noProcess); !errors.Is(err, ErrNoCPUTime) {
		t.Errorf("processor time %v, %v", used, err)
	}
	if bytes, err := AnonymousMemory(noProcess); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("memory %d, %v", bytes, err)
	}
}
