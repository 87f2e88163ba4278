package cmds

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"rattanpath/change"
	"rattanpath/config"
)

// revisionFile keeps the revision that a folder was read from.
const revisionFile = ".rattanpath-revision"

// fetchCommand writes the files in force to a folder.
type fetchCommand struct {
	platformFlags
	Dir string `arg:"" help:"Folder to write to; it must be new or empty."`
}

// Run writes the files and the revision that they belong to.
func (c *fetchCommand) Run(e *env) error {
	state, err := c.publisher().Current(e.ctx)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return errors.Wrap(err, "making the folder")
	}
	entries, err := os.ReadDir(c.Dir)
	if err != nil {
		return errors.Wrap(err, "reading the folder")
	}
	if len(entries) > 0 {
		return errors.Errorf("%s is not empty; give a new folder, so that no file of yours is lost", c.Dir)
	}
	for name, text := range state.Files {
		if err := os.WriteFile(filepath.Join(c.Dir, name), []byte(text), 0o644); err != nil {
			return errors.Wrap(err, "writing a file")
		}
	}
	if err := writeRevision(c.Dir, state.Revision); err != nil {
		return err
	}
	text := fmt.Sprintf("%d files of revision %d written to %s\n", len(state.Files), state.Revision, c.Dir)
	return e.print(published{Revision: state.Revision}, text)
}

func writeRevision(dir string, revision int64) error {
	data := []byte(strconv.FormatInt(revision, 10) + "\n")
	return errors.Wrap(os.WriteFile(filepath.Join(dir, revisionFile), data, 0o644), "writing the revision")
}

// readRevision returns the revision that a folder was read from, or 0 for a
// folder that was never published.
func readRevision(dir string) (int64, error) {
	path := filepath.Join(dir, revisionFile)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "reading the revision")
	}
	revision, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	return revision, errors.Wrapf(err, "%s holds no revision; fetch the folder again", path)
}

// publishCommand publishes a folder.
type publishCommand struct {
	platformFlags
	Dir       string        `arg:"" help:"Folder of declaration files."`
	Base      int64         `help:"Revision that the folder was made against; by default the one that it was fetched from or last published as." default:"-1"`
	RequestID string        `help:"Id of the request; give that of an earlier try to learn its outcome." name:"request-id"`
	Writer    string        `help:"Who publishes." env:"RATTANPATH_WRITER,USER" default:"operator"`
	Wait      bool          `help:"Wait until every live node has the revision in force."`
	Timeout   time.Duration `help:"Time after which to give up." default:"30s"`
}

type published struct {
	Revision  int64
	RequestID string `json:",omitempty"`
	// InForceAfter is the time from the append until every live node had the
	// revision in force; zero if that was not waited for.
	InForceAfter time.Duration `json:",omitempty"`
	Nodes        []string      `json:",omitempty"`
}

// Run publishes the folder and says truthfully what came of it.
func (c *publishCommand) Run(e *env) error {
	declaration, err := loadFolder(c.Dir)
	if err != nil {
		return err
	}
	request, err := c.request(declaration)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, c.Timeout)
	defer cancel()
	started := time.Now()
	revision, err := c.publisher().Publish(ctx, request)
	if err != nil {
		return err
	}
	if err := writeRevision(c.Dir, revision); err != nil {
		return err
	}
	result := published{Revision: revision, RequestID: request.ID}
	text := fmt.Sprintf("revision %d is published\n", revision)
	if c.Wait {
		spread, err := change.AwaitRollout(ctx, newNodes(c.Platform, c.LogTimeout), revision)
		if err != nil {
			return errors.Wrapf(err, "revision %d is published, but not seen in force at %s", revision, strings.Join(spread.Pending, ", "))
		}
		result.InForceAfter = time.Since(started)
		result.Nodes = spread.Active
		text += fmt.Sprintf("in force at %d nodes after %s\n", len(result.Nodes), result.InForceAfter.Round(time.Millisecond))
	}
	return e.print(result, text)
}

func (c *publishCommand) request(declaration *config.Declaration) (change.Request, error) {
	request := change.Request{ID: c.RequestID, Writer: c.Writer, Base: c.Base, Files: declaration.Files}
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	if request.Base >= 0 {
		return request, nil
	}
	base, err := readRevision(c.Dir)
	request.Base = base
	return request, err
}
