"""Plug-ins that register themselves under the names that settings use."""


class Registry:
    """Plug-ins of one kind, by name."""

    def __init__(self):
        self._classes = {}

    def register(self, name):
        """Registers a class under a name.

        :param name: name used in settings.
        :return: class decorator.
        """

        def decorate(plugin):
            self._classes[name] = plugin
            return plugin

        return decorate

    def create(self, name):
        """Creates a plug-in.

        :param name: registered name.
        :return: an instance of the class.
        :raises KeyError: if none has that name.
        """
        return self._classes[name]()

    def list_names(self):
        """Lists the registered names.

        :return: sorted list.
        """
        return sorted(self._classes)
