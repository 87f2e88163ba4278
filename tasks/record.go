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
}

// progress is the stored mutable part of a job.
type progress struct {
	Phase     Phase        `json:",omitempty"`
	Ended     time.Time    `json:",omitzero"`
	NextRound int          `json:"Next,omitempty"`
	Started   bool         `json:"Begun,omitempty"`
	Rounds    []int        `json:",omitempty"`
	Tasks     []taskRecord `json:",omitempty"`
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
	p := progress{Phase: j.Phase, Ended: j.Ended, NextRound: j.NextRound, Started: j.Started}
	for _, round := range j.Rounds {
		p.Rounds = append(p.Rounds, round.Number)
		for step := range round.Steps {
			for index := range round.Steps[step] {
				p.addTask(round.Number, step, index, &round.Steps[step][index])
			}
		}
	}
	data, err := json.Marshal(p)
	return data, errors.Wrapf(err, "encoding the progress of job %s", j.Key.ID)
}

func (p *progress) addTask(round, step, index int, task *Task) {
	if task.Run == 0 && task.State == Waiting {
		return
	}
	record := taskRecord{
		Round: round, Step: step, Index: index,
		State: task.State, Run: task.Run, Failures: task.Failures, Checkpoint: task.Checkpoint, AvoidHost: task.AvoidHost,
		Crashes: task.Crashes,
	}
	if task.Active() {
		record.Host = task.Host
		record.HostIncarnation = task.HostIncarnation
	}
	if task.State == Done {
		record.Checkpoint = ""
	}
	p.Tasks = append(p.Tasks, record)
}

// DecodeJob decodes a job. progressData is nil if no progress was ever written.
func DecodeJob(definition, progressData []byte) (*Job, error) {
	var d Definition
	if err := json.Unmarshal(definition, &d); err != nil {
		return nil, errors.Wrap(err, "decoding the definition of a job")
	}
	onlyCancelled := d.PreCancelled && len(d.Plan.Steps) == 0
	if err := d.Plan.CheckSteps(); err != nil && !onlyCancelled {
		return nil, errors.Wrapf(err, "the definition of job %s", d.Key.ID)
	}
	job := &Job{Key: d.Key, Plan: d.Plan, Policy: d.Policy, Accepted: d.Accepted, PreCancelled: d.PreCancelled}
	if progressData == nil {
		return job, nil
	}
	var p progress
	if err := json.Unmarshal(progressData, &p); err != nil {
		return nil, errors.Wrapf(err, "decoding the progress of job %s", d.Key.ID)
	}
	job.Phase, job.Ended, job.NextRound, job.Started = p.Phase, p.Ended, p.NextRound, p.Started
	for _, number := range p.Rounds {
		round := &Round{Number: number, Steps: make([][]Task, len(d.Plan.Steps))}
		for i, step := range d.Plan.Steps {
			round.Steps[i] = make([]Task, step.Count)
		}
		job.Rounds = append(job.Rounds, round)
	}
	for _, record := range p.Tasks {
		if err := job.restoreTask(record); err != nil {
			return nil, err
		}
	}
	return job, nil
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
		Crashes: record.Crashes,
	}
	j.HasCrashes = j.HasCrashes || record.Crashes > 0
	return nil
}
