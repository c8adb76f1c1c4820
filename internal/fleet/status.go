package fleet

// Phase is the phase of a rollout.
type Phase uint8

// The phases. In the last three the rollout has ended.
const (
	Running     Phase = iota // the current wave is being changed
	Paused                   // no change is started until a Resume
	Settling                 // the wave is done, and its gate is checked after Plan.SettleTime
	Verifying                // all waves are done, and each changed instance reports once more
	RollingBack              // changed instances are given their previous configuration
	Complete                 // each instance has applied the target, or its status says why not
	Aborted
	RolledBack
)

var phaseNames = [...]string{"running", "paused", "settling", "verifying", "rolling back", "complete", "aborted", "rolled back"}

func (p Phase) String() string { return phaseNames[p] }

// State is the state of one instance in a rollout.
type State uint8

// The states.
const (
	Waiting     State = iota // no change is pending
	Changing                 // a change is pending
	Applied                  // its latest report says that it runs the target
	Refused                  // it has rejected the target
	Unreachable              // it does not respond
	Restarted                // it restarted or runs another configuration, after as many changes as the plan allows
)

var stateNames = [...]string{"waiting", "changing", "applied", "refused", "unreachable", "restarted"}

func (s State) String() string { return stateNames[s] }

// InstanceStatus is the last known status of one instance. Times are milliseconds, 0 for never.
type InstanceStatus struct {
	Instance      string
	State         State
	Hash          string  // configuration that it runs, by its latest report
	StartID       string  // of the process that reported
	LastReportAt  float64 // when its latest report was handled
	RequestSentAt float64 // when that report was requested; the instance had this status at some time after that
	Restarts      int     // number of restarts since the rollout or the rollback started
	Reason        string  // why it has not applied the target
}
