package keeper

// duty is the one that changes the set of disks.
type duty struct{}

func (k *Keeper) recallDuty() error               { return nil }
func (k *Keeper) resign()                         {}
func (k *Keeper) dutyTick()                       {}
func (k *Keeper) dutySign() *DutyAsk              { return nil }
func (k *Keeper) dutyHeard(*Tell)                 {}
func (k *Keeper) dutyAnswer(a *DutyAsk) *DutyTell { return nil }
