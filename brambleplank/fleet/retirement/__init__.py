"""Retirement of a traffic class or of one version of it: the timeline, and the fleet's progress along it."""
