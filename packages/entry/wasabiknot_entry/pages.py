"""Pages for peers, operators and the platform's checks of readiness.

Built on ``twisted.web.http`` alone: an entry is started again many times a day, and
``twisted.web.server`` brings along much that its start would wait for.
"""

from twisted.web import http


class PageRequest(http.Request):
    """A request for a page."""

    find_page = None

    def process(self):
        """Answers the request."""
        page = self.find_page(self.path)
        if page is None:
            self.setResponseCode(http.NOT_FOUND)
            body = b""
        else:
            body = page(self)
        self.setHeader(b"content-length", str(len(body)).encode())
        self.write(body)
        self.finish()


def create_factory(find_page):
    """Creates the server side of pages.

    :param find_page: function of a path that returns the page, which is a function
        of a request that returns its body, or ``None``.
    :return: a Twisted protocol factory.
    """

    class Request(PageRequest):
        pass

    Request.find_page = staticmethod(find_page)

    class Channel(http.HTTPChannel):
        requestFactory = Request

    factory = http.HTTPFactory()
    factory.protocol = Channel
    factory.log = lambda request: None
    factory.noisy = False
    return factory
