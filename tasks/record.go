package tasks

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Definition is the record of what never changes of a job.
type Definition struct {
	Key      Key
	Plan     Plan
	Policy   Policy
	Accepted time.Time
	Unasked  bool `json:",omitempty"`
}

// taskRecord is a task that is no longer in its first state.
type taskRecord struct {
	Round  int    `json:"K,omitempty"`
	Step   int    `json:"S,omitempty"`
	Index  int    `json:"I,omitempty"`
	State  State  `json:"P,omitempty"`
	Run    int    `json:"R,omitempty"`
	Host   string `json:"H,omitempty"`
	Born   int64  `json:"B,omitempty"`
	Failed int    `json:"F,omitempty"`
	Saved  string `json:"C,omitempty"`
	Avoid  string `json:"A,omitempty"`
}

// progress is the record of how far a job is.
type progress struct {
	Phase  Phase        `json:",omitempty"`
	Ended  time.Time    `json:",omitzero"`
	Next   int          `json:",omitempty"`
	Begun  bool         `json:",omitempty"`
	Rounds []int        `json:",omitempty"`
	Tasks  []taskRecord `json:",omitempty"`
}

// EncodeDefinition returns the record of what never changes of a job.
func (j *Job) EncodeDefinition() ([]byte, error) {
	data, err := json.Marshal(Definition{
		Key: j.Key, Plan: j.Plan, Policy: j.Policy, Accepted: j.Accepted, Unasked: j.Unasked,
	})
	return data, errors.Wrapf(err, "encoding job %s", j.Key.ID)
}

// EncodeProgress returns the record of how far a job is.
func (j *Job) EncodeProgress() ([]byte, error) {
	p := progress{Phase: j.Phase, Ended: j.Ended, Next: j.Next, Begun: j.Begun}
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
		State: task.State, Run: task.Run, Failed: task.Failed, Saved: task.Saved, Avoid: task.Avoid,
	}
	if task.Active() {
		record.Host = task.Host
		record.Born = task.Born
	}
	if task.State == Done {
		record.Saved = ""
	}
	p.Tasks = append(p.Tasks, record)
}

// DecodeJob returns the job of a definition and its progress, which may be nil
// for a job whose progress was never written.
func DecodeJob(definition, done []byte) (*Job, error) {
	var d Definition
	if err := json.Unmarshal(definition, &d); err != nil {
		return nil, errors.Wrap(err, "decoding the definition of a job")
	}
	job := &Job{Key: d.Key, Plan: d.Plan, Policy: d.Policy, Accepted: d.Accepted, Unasked: d.Unasked}
	if done == nil {
		return job, nil
	}
	var p progress
	if err := json.Unmarshal(done, &p); err != nil {
		return nil, errors.Wrapf(err, "decoding the progress of job %s", d.Key.ID)
	}
	job.Phase, job.Ended, job.Next, job.Begun = p.Phase, p.Ended, p.Next, p.Begun
	for _, number := range p.Rounds {
		round := &Round{Number: number, Steps: make([][]Task, len(d.Plan.Steps))}
		for i, step := range d.Plan.Steps {
			round.Steps[i] = make([]Task, step.Count)
		}
		job.Rounds = append(job.Rounds, round)
	}
	for _, record := range p.Tasks {
		if err := job.restore(record); err != nil {
			return nil, err
		}
	}
	return job, nil
}

func (j *Job) restore(record taskRecord) error {
	name := Name{Job: j.Key.ID, Round: record.Round, Step: record.Step, Index: record.Index}
	task := j.Task(name)
	if task == nil {
		return errors.Errorf("the progress of job %s names a task %d.%d.%d that it doesn't have", j.Key.ID, record.Round, record.Step, record.Index)
	}
	*task = Task{
		State: record.State, Run: record.Run, Host: record.Host, Born: record.Born,
		Failed: record.Failed, Saved: record.Saved, Avoid: record.Avoid,
	}
	return nil
}
