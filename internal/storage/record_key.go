package storage

import "strconv"

// The kinds of records. The first letter of a record's key is its kind.
const (
	KindJob          = 'j'
	KindTaskPage     = 'p'
	KindMachine      = 'm'
	KindLaunch       = 'h'
	KindFleet        = 'f'
	KindMachineTypes = 'c'
)

// The keys of the kinds that have only one record each.
const (
	FleetKey        = "f"
	MachineTypesKey = "c"
)

// JobKey returns the key of a job's record.
func JobKey(id string) string { return "j" + id }

// TaskPageKey returns the key of the record of one page of a job's tasks. Pages are numbered from 0.
func TaskPageKey(id string, page int) string { return "p" + id + "/" + strconv.Itoa(page) }

// MachineKey returns the key of a machine's record.
func MachineKey(n int) string { return "m" + strconv.Itoa(n) }

// LaunchKey returns the key of a launch's record.
func LaunchKey(name string) string { return "h" + name }
