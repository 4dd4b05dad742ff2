import pathlib
import tempfile
import unittest

from returns import pipeline

from wasabiknot_entry import edge_settings
from wasabiknot_kernel import warmups

SETTINGS_TEXT = """
name: e1
domain: graz
host: 10.0.0.1
caller_address: 10.0.0.1:8221
ready_address: 10.0.0.1:8224
ports: [7600, 7615]
store_address: 10.9.0.1:8225
link_mbps: 1000.0
cpu_cores: 0.5
beat_ms: 1200
bounds:
  configuration_ms: 2000
  leaving_ms: 2000
  grace_s: 8
  retry_ratio: 0.2
  retry_window_s: 10
  retry_slack: 54
  allowance_window_s: 8
  allowance_overrun: 0.1
  allowance_slack: 140000
  canary_share: 0.1
  canary_slack: 50
  rollback_ms: 5000
"""


def load(text):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "settings.yaml"
        path.write_text(text, encoding="utf-8")
        return edge_settings.load_settings(path)


class LoadSettingsTests(unittest.TestCase):
    def test_complete_file(self):
        settings = load(SETTINGS_TEXT).unwrap()
        self.assertEqual(settings.ports, (7600, 7615))
        self.assertEqual(settings.bounds.grace_s, 8)

    def test_missing_value_is_reported(self):
        loaded = load(SETTINGS_TEXT.replace("store_address: 10.9.0.1:8225\n", ""))
        self.assertFalse(pipeline.is_successful(loaded))
        self.assertIn("store_address: expected a value", str(loaded.failure()))

    def test_invalid_bound_is_reported_with_line(self):
        loaded = load(SETTINGS_TEXT.replace("grace_s: 8", "grace_s: soon"))
        self.assertIn("settings.yaml:15: bounds.grace_s", str(loaded.failure()))

    def test_random_placement_is_accepted(self):
        loaded = load(SETTINGS_TEXT + "placement: random\n").unwrap()
        self.assertEqual(loaded.placement, "random")

    def test_bound_on_bodies_has_a_default_and_a_least_value(self):
        self.assertEqual(load(SETTINGS_TEXT).unwrap().buffer_bytes, 32 * 1024 * 1024)
        failed = load(SETTINGS_TEXT + "buffer_bytes: 1000\n")
        self.assertIn("buffer_bytes", str(failed.failure()))

    def test_contract_asks_for_fair_queueing(self):
        # Guards against shares of customers where the platform doesn't ask for them,
        # and against a template that renders nothing where it names no contracts.
        for text, expected in (
            ("", False),
            ("contracts:\n", False),
            ("contracts: []\n", False),
            ('contracts: ["drain", "hedge"]\n', False),
            ('contracts: ["drain", "pressure"]\n', True),
            ("fair_queueing: true\n", True),
            ("contracts:\nfair_queueing: true\n", True),
        ):
            with self.subTest(text=text):
                settings = load(SETTINGS_TEXT + text).unwrap()
                self.assertEqual(settings.has_fair_queueing, expected)

    def test_unreadable_contracts_are_reported(self):
        failed = load(SETTINGS_TEXT + "contracts: pressure\n")
        self.assertFalse(pipeline.is_successful(failed))

    def test_unknown_placement_is_reported(self):
        failed = load(SETTINGS_TEXT + "placement: best\n")
        self.assertFalse(pipeline.is_successful(failed))
        text = str(failed.failure())
        self.assertIn("placement: expected one of: earliest-event", text)

    def test_hedges_are_off_unless_the_setting_is_there(self):
        self.assertEqual(load(SETTINGS_TEXT).unwrap().hedge_share, 0.0)
        loaded = load(SETTINGS_TEXT + "hedge_share: 0.05\n").unwrap()
        self.assertEqual(loaded.hedge_share, 0.05)

    def test_share_of_hedges_beyond_its_range_is_an_error(self):
        # A reload then keeps the previous settings, and a start fails.
        for value in ("-0.01", "1.01", ".nan", ".inf", "true", "'0.1'", "[]"):
            with self.subTest(value=value):
                failed = load(SETTINGS_TEXT + f"hedge_share: {value}\n")
                self.assertFalse(pipeline.is_successful(failed))
                self.assertIn("hedge_share", str(failed.failure()))


class WarmupToleranceTests(unittest.TestCase):
    def find(self, *lines):
        text = SETTINGS_TEXT + "".join(f"  {line}\n" for line in lines)
        return edge_settings.find_warmup_tolerance(load(text).unwrap().bounds)

    def test_bounds_that_the_platform_does_not_set_have_defaults(self):
        # Guards against a start that fails as the template renders nothing.
        default = warmups.Tolerance()
        self.assertEqual(self.find(), default)
        self.assertEqual(self.find("warmup_overrun:", "warmup_slack: "), default)

    def test_bounds_that_it_sets_hold(self):
        found = self.find("warmup_overrun: 1.2", "warmup_slack: 0")
        self.assertEqual(found, warmups.Tolerance(1.2, 0.0))

    def test_impossible_bounds_are_settings_errors(self):
        for line in ("warmup_overrun: 0.5", "warmup_slack: -1"):
            self.assertFalse(pipeline.is_successful(load(f"{SETTINGS_TEXT}  {line}")))


class RegionTests(unittest.TestCase):
    def test_regions_that_the_platform_does_not_set_are_unknown(self):
        # Guards against a start that fails as the template renders nothing.
        for lines in ("", "region:\ndomain_regions: \n"):
            settings = load(SETTINGS_TEXT + lines).unwrap()
            self.assertIsNone(settings.region)
            self.assertIsNone(settings.domain_regions)

    def test_regions_are_read_as_the_template_renders_them(self):
        lines = 'region: "north"\ndomain_regions: {"graz":"north","linz":"south"}\n'
        settings = load(SETTINGS_TEXT + lines).unwrap()
        self.assertEqual(settings.region, "north")
        self.assertEqual(settings.domain_regions, {"graz": "north", "linz": "south"})
