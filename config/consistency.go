package config

import "fmt"

// CheckConsistency checks the configurations of several controllers against each other. A key that
// two controllers share would let a message to one be replayed at the other, and two controllers
// with the same number would halve the load limit of workers that are warming up. names are the
// names of the files, in the order of configs. The error is of type Problems.
func CheckConsistency(names []string, configs []*ControllerConfig) error {
	c := consistencyCheck{
		secretFiles: map[string]string{},
		indexFiles:  map[int]string{},
		nameFiles:   map[string]string{},
	}
	for i, config := range configs {
		c.file = names[i]
		c.checkSecrets(config)
		c.checkIndex(config)
		c.checkName(config)
		if config.Settings.Controllers != len(configs) {
			c.add(Problem{
				Field:   "controllers",
				Message: fmt.Sprintf("%d, but %d files were given", config.Settings.Controllers, len(configs)),
				Remedy:  "the load limit of workers that are warming up is divided by this number",
			})
		}
	}
	if len(c.problems) == 0 {
		return nil
	}
	return c.problems
}

// A consistencyCheck records which file each key, number and name was seen in.
type consistencyCheck struct {
	file        string // the file that is being checked
	problems    Problems
	secretFiles map[string]string
	indexFiles  map[int]string
	nameFiles   map[string]string
}

// add adds a problem of the file that is being checked.
func (c *consistencyCheck) add(p Problem) {
	p.File = c.file
	c.problems = append(c.problems, p)
}

func (c *consistencyCheck) checkSecrets(config *ControllerConfig) {
	for _, secret := range config.Secrets {
		if other, ok := c.secretFiles[secret]; ok && other != c.file {
			c.add(Problem{
				Field:   "clients",
				Message: "a key of " + other + " is used here too",
				Remedy:  "a message to one controller could be replayed at the other: use common_keys",
			})
		}
		c.secretFiles[secret] = c.file
	}
}

func (c *consistencyCheck) checkIndex(config *ControllerConfig) {
	index := config.Settings.ControllerIndex
	if other, ok := c.indexFiles[index]; ok {
		c.add(Problem{
			Field:   "me",
			Message: fmt.Sprintf("%d is also used by %s", index, other),
			Remedy:  "number the controllers from 0",
		})
	}
	c.indexFiles[index] = c.file
}

func (c *consistencyCheck) checkName(config *ControllerConfig) {
	if other, ok := c.nameFiles[config.Name]; ok {
		c.add(Problem{
			Field:   "name",
			Message: fmt.Sprintf("%q is also used by %s", config.Name, other),
			Remedy:  "names must be unique",
		})
	}
	c.nameFiles[config.Name] = c.file
}
