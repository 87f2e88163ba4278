package tasks

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Definition is the stored immutable part of a job.
type Definition struct {
	Key          Key
	Plan         Plan
	Policy       Policy
	Accepted     time.Time
	PreCancelled bool `json:"Unasked,omitempty"`
}

// taskRecord is the stored state of a task that has been assigned at least once.
type taskRecord struct {
	Round           int    `json:"K,omitempty"`
	Step            int    `json:"S,omitempty"`
	Index           int    `json:"I,omitempty"`
	State           State  `json:"P,omitempty"`
	Run             int    `json:"R,omitempty"`
	Host            string `json:"H,omitempty"`
	HostIncarnation int64  `json:"B,omitempty"`
	Failures        int    `json:"F,omitempty"`
	Checkpoint      string `json:"C,omitempty"`
	AvoidHost       string `json:"A,omitempty"`
	Crashes         int    `json:"D,omitempty"`
	Unsteady        int    `json:"U,omitempty"`
}

// progressHead is the stored mutable part of a job, without its tasks.
type progressHead struct {
	Phase     Phase     `json:",omitempty"`
	Ended     time.Time `json:",omitzero"`
	NextRound int       `json:"Next,omitempty"`
	Started   bool      `json:"Begun,omitempty"`
	Rounds    []int     `json:",omitempty"`
}

// progress is the stored mutable part of a job in a single record.
type progress struct {
	progressHead
	Tasks []taskRecord `json:",omitempty"`
}

// EncodeDefinition encodes the immutable part of the job.
func (j *Job) EncodeDefinition() ([]byte, error) {
	data, err := json.Marshal(Definition{
		Key: j.Key, Plan: j.Plan, Policy: j.Policy, Accepted: j.Accepted, PreCancelled: j.PreCancelled,
	})
	return data, errors.Wrapf(err, "encoding job %s", j.Key.ID)
}

// EncodeProgress encodes the mutable part of the job.
func (j *Job) EncodeProgress() ([]byte, error) {
	p := progress{progressHead: j.progressHead()}
	for _, round := range j.Rounds {
		for step := range round.Steps {
			for index := range round.Steps[step] {
				if record, assigned := newTaskRecord(round.Number, step, index, &round.Steps[step][index]); assigned {
					p.Tasks = append(p.Tasks, record)
				}
			}
		}
	}
	data, err := json.Marshal(p)
	return data, errors.Wrapf(err, "encoding the progress of job %s", j.Key.ID)
}

func (j *Job) progressHead() progressHead {
	head := progressHead{Phase: j.Phase, Ended: j.Ended, NextRound: j.NextRound, Started: j.Started}
	for _, round := range j.Rounds {
		head.Rounds = append(head.Rounds, round.Number)
	}
	return head
}

// newTaskRecord returns the stored state of a task, or false if it was never assigned.
func newTaskRecord(round, step, index int, task *Task) (taskRecord, bool) {
	if task.Run == 0 && task.State == Waiting {
		return taskRecord{}, false
	}
	record := taskRecord{
		Round: round, Step: step, Index: index,
		State: task.State, Run: task.Run, Failures: task.Failures, Checkpoint: task.Checkpoint, AvoidHost: task.AvoidHost,
		Crashes: task.Crashes, Unsteady: task.Unsteady,
	}
	if task.Active() {
		record.Host = task.Host
		record.HostIncarnation = task.HostIncarnation
	}
	if task.State == Done {
		record.Checkpoint = ""
	}
	return record, true
}

// DecodeJob decodes a job whose progress is a single record. progressData is nil if no
// progress was ever written.
func DecodeJob(definition, progressData []byte) (*Job, error) {
	job, _, err := DecodeStored(definition, progressData, nil)
	return job, err
}

// DecodeStored decodes a job from its records, and returns what the store holds of its
// progress. The parts are given by name, see ProgressRecord.
func DecodeStored(definition, progressData []byte, parts map[string][]byte) (*Job, StoredProgress, error) {
	job, err := decodeDefinition(definition)
	if err != nil {
		return nil, StoredProgress{}, err
	}
	stored, err := newStoredProgress(parts)
	if err != nil || progressData == nil {
		return job, stored, errors.WithMessagef(err, "job %s", job.Key.ID)
	}
	if err := job.decodeProgress(progressData, parts, &stored); err != nil {
		return nil, stored, err
	}
	return job, stored, nil
}

func decodeDefinition(definition []byte) (*Job, error) {
	var d Definition
	if err := json.Unmarshal(definition, &d); err != nil {
		return nil, errors.Wrap(err, "decoding the definition of a job")
	}
	onlyCancelled := d.PreCancelled && len(d.Plan.Steps) == 0
	if err := d.Plan.CheckSteps(); err != nil && !onlyCancelled {
		return nil, errors.Wrapf(err, "the definition of job %s", d.Key.ID)
	}
	return &Job{Key: d.Key, Plan: d.Plan, Policy: d.Policy, Accepted: d.Accepted, PreCancelled: d.PreCancelled}, nil
}

// decodeProgress restores the progress from its record and, if that says so, its parts.
func (j *Job) decodeProgress(data []byte, parts map[string][]byte, stored *StoredProgress) error {
	var p struct {
		progressHead
		Tasks json.RawMessage
	}
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Wrapf(err, "decoding the progress of job %s", j.Key.ID)
	}
	j.Phase, j.Ended, j.NextRound, j.Started = p.Phase, p.Ended, p.NextRound, p.Started
	for _, number := range p.Rounds {
		round := &Round{Number: number, Steps: make([][]Task, len(j.Plan.Steps))}
		for i, step := range j.Plan.Steps {
			round.Steps[i] = make([]Task, step.Count)
		}
		j.Rounds = append(j.Rounds, round)
	}
	if isPartsMarker(p.Tasks) {
		return j.decodeParts(p.Tasks, parts, stored)
	}
	if len(p.Tasks) == 0 {
		return nil
	}
	return j.restoreTasks(p.Tasks)
}

// restoreTasks restores the tasks in a list of task records.
func (j *Job) restoreTasks(data []byte) error {
	var records []taskRecord
	if err := json.Unmarshal(data, &records); err != nil {
		return errors.Wrapf(err, "decoding the tasks of job %s", j.Key.ID)
	}
	for _, record := range records {
		if err := j.restoreTask(record); err != nil {
			return err
		}
	}
	return nil
}

func (j *Job) restoreTask(record taskRecord) error {
	id := ID{Job: j.Key.ID, Round: record.Round, Step: record.Step, Index: record.Index}
	task := j.Task(id)
	if task == nil {
		return errors.Errorf("the progress of job %s refers to unknown task %d.%d.%d (round.step.index)", j.Key.ID, record.Round, record.Step, record.Index)
	}
	*task = Task{
		State: record.State, Run: record.Run, Host: record.Host, HostIncarnation: record.HostIncarnation,
		Failures: record.Failures, Checkpoint: record.Checkpoint, AvoidHost: record.AvoidHost,
		Crashes: record.Crashes, Unsteady: record.Unsteady,
	}
	j.HasCrashes = j.HasCrashes || record.Crashes > 0
	return nil
}
