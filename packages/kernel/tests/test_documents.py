"""Tests of parsing and validating YAML documents."""

import unittest

from returns import pipeline

from wasabiknot_kernel import documents, services

SERVICE = """\
service: torwache
kind: plain
calls:
  - {name: record-cash, tier: inspector, deadline_ms: 3000}
versions:
  - name: v1
    share_percent: 100
"""
DEPLOYMENT = "tiers: [inspector, clerk]\n"


def read(text, schema=services.Service):
    return documents.read_document(text, schema, "file.yaml")


def list_faults(text):
    return [str(fault) for fault in read(text).failure().faults]


class DocumentTests(unittest.TestCase):
    def test_valid_document_is_converted(self):
        service = read(SERVICE).unwrap().value
        self.assertEqual(service.kind, services.ServiceKind.PLAIN)
        self.assertEqual(service.find_call("record-cash").deadline_ms, 3000)

    def test_every_fault_has_a_line_and_an_expected_value(self):
        text = SERVICE.replace("plain", "car").replace("3000", "soon")
        faults = list_faults(text + "colour: red\n")
        self.assertEqual(len(faults), 3)
        self.assertTrue(faults[0].startswith("file.yaml:8: colour: expected one of"))
        self.assertTrue(faults[1].startswith("file.yaml:2: kind:"))
        self.assertIn("file.yaml:4: calls[0].deadline_ms: expected `int`", faults[2])

    def test_missing_field_is_a_fault(self):
        text = SERVICE.replace("service: torwache\n", "")
        self.assertIn("service: expected a value", list_faults(text)[0])

    def test_invalid_yaml_is_a_fault(self):
        self.assertIn("expected valid YAML", list_faults("a: [1")[0])

    def test_empty_document_is_a_fault(self):
        self.assertFalse(pipeline.is_successful(read("")))


class CheckConfigurationTests(unittest.TestCase):
    def check(self, text):
        deployment = read(DEPLOYMENT, services.Deployment).unwrap()
        return services.check_configuration(deployment, [read(text).unwrap()])

    def test_valid_configuration_has_no_faults(self):
        self.assertEqual(self.check(SERVICE), [])

    def test_unknown_tier_is_a_fault(self):
        fault = self.check(SERVICE.replace("inspector", "queen"))[0]
        self.assertEqual((fault.line, fault.path), (4, "calls[0].tier"))

    def test_shares_must_add_up(self):
        fault = self.check(SERVICE.replace("100", "90"))[0]
        self.assertIn("add up to 100 (found 90)", fault.expected)

    def test_due_time_needs_a_time_zone(self):
        text = SERVICE + "    by: 2026-12-03T21:00:00\n"
        self.assertIn("time zone", self.check(text)[0].expected)


if __name__ == "__main__":
    unittest.main()
